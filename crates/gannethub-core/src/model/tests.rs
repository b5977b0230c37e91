use super::*;

#[test]
fn ranges_behave_like_a_set_of_numbers() {
    use rand::{Rng, SeedableRng};
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let mut plain = std::collections::BTreeSet::new();
    let mut ranges = TaskSet::default();
    for _ in 0..4000 {
        let task = rng.random_range(0..60);
        if rng.random_bool(0.5) {
            assert_eq!(ranges.insert(task), plain.insert(task));
        } else {
            assert_eq!(ranges.remove(task), plain.remove(&task));
        }
        assert_eq!(ranges.contains(task), plain.contains(&task));
        assert!(ranges.iter().eq(plain.iter().copied()));
        assert_eq!(ranges.len() as usize, plain.len());
    }
    assert!(ranges.slice(10, 20).iter().eq(plain.range(10..20).copied()));
}
