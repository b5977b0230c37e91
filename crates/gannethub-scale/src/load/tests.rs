use rand::SeedableRng;

use super::*;

#[test]
fn built_in_load_is_valid_and_gangs_reach_the_largest_size() {
    let load = Load::read(None).unwrap();
    let class = load
        .classes
        .iter()
        .find(|c| c.shape == Shape::Group)
        .unwrap();
    let mut rng = StdRng::seed_from_u64(1);
    let drawn: Vec<u32> = (0..20_000)
        .map(|_| class.draw_tasks(128, &mut rng))
        .collect();
    assert_eq!(drawn.iter().max(), Some(&128));
    let mean = drawn.iter().sum::<u32>() as f64 / drawn.len() as f64;
    assert!((mean / class.mean_tasks(128) - 1.0).abs() < 0.05, "{mean}");
}

#[test]
fn load_error_names_the_invalid_field() {
    let text = TARGET_LOAD.replace("tasks = [1, 20]", "tasks = [20, 1]");
    let load: Load = toml::from_str(&text).unwrap();
    let error = load.check("x.toml").unwrap_err().to_string();
    assert_eq!(
        error,
        "x.toml: class[3].tasks: must be a minimum of at least 1 and a maximum not below it"
    );
}
