use super::*;

pub fn sample(more: &str) -> Result<Settings, SettingsError> {
    let teams = [("red".to_string(), 30.0), ("blue".to_string(), 10.0)];
    let text = format!("keys = \"ledger.keys\"\nhalf_life_s = 3600.0\n{more}");
    Settings::parse(&text, "f", &teams)
}

#[test]
fn settings_parsing_and_errors() {
    let s = sample("").unwrap();
    assert_eq!((s.teams["red"].share, s.teams["blue"].share), (0.75, 0.25));
    assert_eq!(
        s.rate(ResourceAmounts(2000, 1000, 10_000)),
        2000 + 8000 + 1000
    );
    let team = |name: &str, share: &str| format!("[[teams]]\nname = \"{name}\"\nshare = {share}\n");
    let own = team("red", "0.4") + "half_life_s = 60.0\n" + &team("blue", "0.6");
    let s = sample(&own).unwrap();
    assert_eq!(s.half_life("red").time(), 60 * SECOND);
    assert_eq!(s.half_life("blue").time(), 3600 * SECOND);
    for (more, field) in [
        (
            team("red", "0.4") + &team("blue", "0.5"),
            "teams: the shares add up to 0.9",
        ),
        (team("red", "1.0"), "teams: team \"blue\" is missing"),
        (team("green", "1.0"), "teams[0].name: there is no team"),
        (team("red", "-0.1"), "teams[0].share: "),
        (
            team("red", "0.5") + &team("red", "0.5"),
            "teams[1].name: \"red\" appears twice",
        ),
        (
            team("red", "1.0") + "half_life_s = -5.0",
            "teams[0].half_life_s: ",
        ),
        ("every_s = 0.0".into(), "every_s: "),
        ("[cost]\ngpu = -1.0".into(), "cost.gpu: "),
        ("balance_pages = 0".into(), "balance_pages: "),
    ] {
        let error = sample(&more).unwrap_err().to_string();
        assert!(error.starts_with(&format!("f: {field}")), "{error}");
    }
    let absent = Settings::parse("keys = \"k\"", "f", &[])
        .unwrap_err()
        .to_string();
    assert!(absent.contains("half_life_s"), "{absent}");
    assert!(Settings::parse("half_life_s = 0.0\nkeys = \"k\"", "f", &[]).is_err());
}
