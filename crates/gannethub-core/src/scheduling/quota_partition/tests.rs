use super::*;
use proptest::prelude::*;

fn cpus(n: i64) -> Resources {
    Resources {
        cpu: n,
        gpu: 0,
        memory: 0,
    }
}

fn team(used: i64, waiting: i64) -> TeamLoad {
    TeamLoad {
        used: cpus(used),
        waiting: cpus(waiting),
    }
}

#[test]
fn free_quota_covers_shortages_and_idle_quota_is_returned() {
    let limits = [cpus(100)];
    let loads = BTreeMap::from([(1, vec![team(0, 60)]), (2, vec![team(0, 60)])]);
    let quotas = raised_quotas(&limits, &ShardQuotas::new(), &[team(20, 0)], &loads);
    assert_eq!((quotas[&1][0].cpu, quotas[&2][0].cpu), (40, 40));
    assert_eq!(shard_0_quotas(&limits, &quotas), [cpus(20)]);
    // No free quota is left.
    assert!(raised_quotas(&limits, &quotas, &[team(20, 9)], &loads).is_empty());
    assert_eq!(lowered_quota(&quotas[&1], &[team(30, 10)]), None);
    assert_eq!(
        lowered_quota(&quotas[&1], &[team(10, 0)]),
        Some(vec![cpus(11)])
    );
}

proptest! {
    /// Raises, lowerings and lost answers in any order; each shard owner acts on the stored quota that it last knew.
    #[test]
    fn quotas_never_add_up_to_more_than_the_limit(
        steps in proptest::collection::vec((0..5u8, 1..4u32, 0..120i64, 0..120i64), 1..60),
    ) {
        let limits = [cpus(100)];
        // `stored`: the stored quotas with their versions. `applied`: the quota that the owner of each other shard acts
        // on. `known`: the other shards' quotas as the owner of shard 0 last read them.
        let mut stored: BTreeMap<u32, (u64, Vec<Resources>)> = BTreeMap::new();
        let mut applied: BTreeMap<u32, (u64, Vec<Resources>)> = BTreeMap::new();
        let mut known = stored.clone();
        let mut version = 0;
        for (action, shard, used, waiting) in steps {
            let own = applied.get(&shard).map_or(0, |quota| quota.1[0].cpu);
            let used = used.min(own);
            match action {
                // The shard owner reads its quota.
                0 => drop(stored.get(&shard).map(|quota| applied.insert(shard, quota.clone()))),
                // The shard owner lowers its quota and keeps to it at once; the write may fail, or its answer be lost.
                1 | 2 => {
                    let Some((known_version, quota)) = applied.get(&shard).cloned() else { continue };
                    let Some(low) = lowered_quota(&quota, &[team(used, waiting)]) else { continue };
                    applied.insert(shard, (known_version, low.clone()));
                    let is_current = stored.get(&shard).is_some_and(|quota| quota.0 == known_version);
                    if action == 1 && is_current {
                        version += 1;
                        stored.insert(shard, (version, low.clone()));
                        applied.insert(shard, (version, low));
                    }
                }
                // The owner of shard 0 reads all quotas.
                3 => known = stored.clone(),
                // The owner of shard 0 raises quotas, guarded by the versions of all quotas that it knows.
                _ => {
                    let quotas: ShardQuotas =
                        known.iter().map(|(id, quota)| (*id, quota.1.clone())).collect();
                    let loads = BTreeMap::from([(shard, vec![team(used, waiting)])]);
                    let free = shard_0_quotas(&limits, &quotas)[0].cpu;
                    let own = team(free.min(7), 3);
                    let raised = raised_quotas(&limits, &quotas, &[own], &loads);
                    if known != stored {
                        continue;
                    }
                    for (id, quota) in raised {
                        version += 1;
                        stored.insert(id, (version, quota));
                    }
                    known = stored.clone();
                }
            }
            let quotas: ShardQuotas =
                stored.iter().map(|(id, quota)| (*id, quota.1.clone())).collect();
            prop_assert!(shard_0_quotas(&limits, &quotas)[0].cpu >= 0, "{quotas:?}");
            for (id, (_, quota)) in &applied {
                prop_assert!(
                    quota[0].cpu <= stored[id].1[0].cpu,
                    "shard {id} acts on more than its stored quota"
                );
            }
        }
    }
}
