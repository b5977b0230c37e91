use super::*;

#[test]
fn a_task_set_matches_a_reference_set() {
    use rand::{Rng, SeedableRng};
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let mut reference = std::collections::BTreeSet::new();
    let mut ranges = TaskSet::default();
    for _ in 0..4000 {
        let task = rng.random_range(0..60);
        if rng.random_bool(0.5) {
            assert_eq!(ranges.insert(task), reference.insert(task));
        } else {
            assert_eq!(ranges.remove(task), reference.remove(&task));
        }
        assert_eq!(ranges.contains(task), reference.contains(&task));
        assert!(ranges.iter().eq(reference.iter().copied()));
        assert_eq!(ranges.len() as usize, reference.len());
    }
    assert!(
        ranges
            .slice(10, 20)
            .iter()
            .eq(reference.range(10..20).copied())
    );
}
