use super::*;
use crate::SECOND;
use crate::line::tests::{charge_group, entry};
use crate::settings::tests::sample;

#[test]
fn shares_match_the_closed_form_over_half_lives() {
    let settings = sample("").unwrap();
    let start = 1_700_000_000 * SECOND;
    let charge = |team: &str, begin: Micros, seconds: u64| Charge {
        group: charge_group(team, "j-1"),
        entries: vec![entry(0, start + begin, seconds * SECOND)],
    };
    let mut accounts = Accounts::default();
    accounts.add_charge(&charge("red", 0, 600), &settings);
    let after = |n: u64| 600 * SECOND + n * 3600 * SECOND;
    // n half-lives after the usage of red, blue uses the same amount: the usage of red then counts 2^-n of the usage
    // of blue.
    for n in [1u64, 2, 5] {
        let mut later = accounts.clone();
        later.add_charge(&charge("blue", after(n) - 600 * SECOND, 600), &settings);
        let shares = later.shares(&settings, start + after(n), &BTreeMap::new());
        let remaining = 0.5f64.powi(n as i32);
        let expected = remaining / (remaining + 1.0);
        assert!((shares["red"].0 - expected).abs() < 1e-6, "{n}: {shares:?}");
        assert!((shares["red"].1 - expected / 0.75).abs() < 1e-5);
    }
    let parts = accounts.balance_parts(&settings);
    assert_eq!(Accounts::from_balance_parts(&parts, &settings), accounts);
    let idle = Accounts::default().shares(&settings, start, &BTreeMap::new());
    assert_eq!(idle["blue"], (0.0, 1.0));
}
