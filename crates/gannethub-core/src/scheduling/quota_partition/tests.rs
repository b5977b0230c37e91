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
fn what_is_free_goes_to_those_that_lack_it_and_comes_back_when_it_lies_idle() {
    let whole = [cpus(100)];
    let told = BTreeMap::from([(1, vec![team(0, 60)]), (2, vec![team(0, 60)])]);
    let parts = raised_quotas(&whole, &ShardQuotas::new(), &[team(20, 0)], &told);
    assert_eq!((parts[&1][0].cpu, parts[&2][0].cpu), (40, 40));
    assert_eq!(remaining_quota(&whole, &parts), [cpus(20)]);
    // Nothing is free any more.
    assert!(raised_quotas(&whole, &parts, &[team(20, 9)], &told).is_empty());
    assert_eq!(lowered_quota(&parts[&1], &[team(30, 10)]), None);
    assert_eq!(
        lowered_quota(&parts[&1], &[team(10, 0)]),
        Some(vec![cpus(11)])
    );
}

proptest! {
    /// Any order of raises, lowers and lost answers, each holder going by what it last knew to be written.
    #[test]
    fn parts_never_add_up_to_more_than_the_limit(
        steps in proptest::collection::vec((0..5u8, 1..4u32, 0..120i64, 0..120i64), 1..60),
    ) {
        let whole = [cpus(100)];
        // What is written, with versions; what each other holder goes by; what block 0's believes of the others.
        let mut written: BTreeMap<u32, (u64, Vec<Resources>)> = BTreeMap::new();
        let mut holds: BTreeMap<u32, (u64, Vec<Resources>)> = BTreeMap::new();
        let mut believed = written.clone();
        let mut version = 0;
        for (what, block, used, waiting) in steps {
            let own = holds.get(&block).map_or(0, |h| h.1[0].cpu);
            let used = used.min(own);
            match what {
                // The holder of a block reads its part.
                0 => drop(written.get(&block).map(|w| holds.insert(block, w.clone()))),
                // It lowers it, and obeys at once; the write may fail, or its answer be lost.
                1 | 2 => {
                    let Some((seen, part)) = holds.get(&block).cloned() else { continue };
                    let Some(low) = lowered_quota(&part, &[team(used, waiting)]) else { continue };
                    holds.insert(block, (seen, low.clone()));
                    let fits = written.get(&block).is_some_and(|w| w.0 == seen);
                    if what == 1 && fits {
                        version += 1;
                        written.insert(block, (version, low.clone()));
                        holds.insert(block, (version, low));
                    }
                }
                // Block 0's holder reads all.
                3 => believed = written.clone(),
                // It raises, guarded by the versions of all that it believes.
                _ => {
                    let parts: ShardQuotas =
                        believed.iter().map(|(b, w)| (*b, w.1.clone())).collect();
                    let told = BTreeMap::from([(block, vec![team(used, waiting)])]);
                    let free = remaining_quota(&whole, &parts)[0].cpu;
                    let own = team(free.min(7), 3);
                    let raised = raised_quotas(&whole, &parts, &[own], &told);
                    if believed != written {
                        continue;
                    }
                    for (b, part) in raised {
                        version += 1;
                        written.insert(b, (version, part));
                    }
                    believed = written.clone();
                }
            }
            let parts: ShardQuotas = written.iter().map(|(b, w)| (*b, w.1.clone())).collect();
            prop_assert!(remaining_quota(&whole, &parts)[0].cpu >= 0, "{parts:?}");
            for (b, (_, part)) in &holds {
                prop_assert!(part[0].cpu <= written[b].1[0].cpu, "{b} goes by more than is written");
            }
        }
    }
}
