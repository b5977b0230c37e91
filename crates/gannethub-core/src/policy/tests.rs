use super::*;

#[test]
fn built_in_policy_defines_every_setting() {
    let policy = Policy::default();
    assert!(policy.settings.iter().all(Option::is_some));
    for (i, spec) in SETTING_SPECS.iter().enumerate() {
        assert_eq!(spec.setting as usize, i);
    }
    let sample = policy.evaluate_sample();
    assert_eq!(sample[0], ("queue_weight", "135".to_string()));
    assert_eq!(sample[4], ("idle_s", "12".to_string()));
}

#[test]
fn operators_follow_usual_precedence() {
    let value = |text: &str| {
        let policy = Policy::parse(&format!("queue_weight = {text}")).unwrap();
        let sample: Vec<Value<'_>> = JOB_FIELDS.iter().map(|field| field.2).collect();
        policy.number(Setting::QueueWeight, &sample)
    };
    assert_eq!(value("1 + 2 * 3 - 4 / 2"), 5.0);
    assert_eq!(value("(1 + 2) * -3"), -9.0);
    assert_eq!(
        value("if job.team == \"red\" and not job.late then 1 else 2"),
        1.0
    );
    assert_eq!(
        value("if 1 > 2 or job.tasks >= 20 # comment\n then 7 else 8"),
        7.0
    );
    assert_eq!(value("10 - 4 - 3"), 3.0);
}

#[test]
fn errors_state_line_and_column() {
    for (text, line, column, part) in [
        ("idle_s = job.tasks", 1, 10, "unknown name"),
        ("\n  idel_s = 3", 2, 3, "unknown setting"),
        ("idle_s = true", 1, 1, "a number is needed"),
        ("idle_s = 1 + \"x\"", 1, 12, "a number is needed"),
        ("idle_s = 1\nidle_s = 2", 2, 1, "set twice"),
        ("plan_slack = 3", 1, 1, "not within"),
        ("plan_slack = 0.5 / 0", 1, 1, "not within"),
        ("idle_s = if true then 1", 1, 24, "else"),
        ("idle_s = (1 + 2", 1, 16, ")"),
        ("use_spot = 1 < 2 < 3", 1, 18, "a number is needed"),
        ("idle_s 3", 1, 8, "="),
        ("idle_s = \"open", 1, 15, "quote"),
    ] {
        let error = Policy::parse(text).unwrap_err();
        assert!(error.reason.contains(part), "{text}: {error}");
        assert_eq!(
            (error.line, error.column),
            (line, column),
            "{text}: {error}"
        );
    }
}

#[test]
fn results_are_clamped_to_setting_bounds() {
    let policy = Policy::parse("idle_s = machine.price * 1000 / machine.cpus").unwrap();
    let mut inputs: Vec<Value<'_>> = MACHINE_FIELDS.iter().map(|field| field.2).collect();
    inputs[4] = Value::Number(1e12);
    assert_eq!(policy.number(Setting::MaxIdleTime, &inputs), 3600.0);
    inputs[4] = Value::Number(0.0);
    inputs[3] = Value::Number(0.0);
    assert_eq!(
        policy.number(Setting::MaxIdleTime, &inputs),
        3600.0,
        "0/0 is not a number"
    );
}
