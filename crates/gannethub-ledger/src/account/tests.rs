use super::*;
use crate::SECOND;
use crate::line::tests::{common, entry};
use crate::settings::tests::sample;

#[test]
fn shares_follow_the_closed_form_over_half_lives() {
    let settings = sample("").unwrap();
    let start = 1_700_000_000 * SECOND;
    let charge = |team: &str, begin: Micros, seconds: u64| Charge {
        group: common(team, "j-1"),
        entries: vec![entry(0, start + begin, seconds * SECOND)],
    };
    let mut accounts = Accounts::default();
    accounts.charge(&charge("red", 0, 600), &settings);
    let after = |n: u64| 600 * SECOND + n * 3600 * SECOND;
    // After n half-lives blue uses as much as red did: red then counts 2^-n of it.
    for n in [1u64, 2, 5] {
        let mut then = accounts.clone();
        then.charge(&charge("blue", after(n) - 600 * SECOND, 600), &settings);
        let shares = then.shares(&settings, start + after(n), &BTreeMap::new());
        let part = 0.5f64.powi(n as i32);
        let want = part / (part + 1.0);
        assert!((shares["red"].0 - want).abs() < 1e-6, "{n}: {shares:?}");
        assert!((shares["red"].1 - want / 0.75).abs() < 1e-5);
    }
    let parts = accounts.parts(&settings);
    assert_eq!(Accounts::from_parts(&parts, &settings), accounts);
    let idle = Accounts::default().shares(&settings, start, &BTreeMap::new());
    assert_eq!(idle["blue"], (0.0, 1.0));
}
