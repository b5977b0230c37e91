use super::*;
use crate::model::Priority;
use proptest::prelude::*;

fn job(shape: Shape, tasks: u32, need: Resources) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        class: "c".into(),
        team: "red".into(),
        shape,
        priority: Priority::Normal,
        tasks,
        resources: need,
        image: "img".into(),
        image_size_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread: false,
        spot: true,
        run_time_estimate: SECOND,
        checkpoint_interval: 0,
        save_time: 0,
        deadline: None,
    })
}

/// Three lines, a cheap one, a dear one and one of large machines.
const SIZES: [i64; 3] = [4000, 4000, 32_000];

/// Line, seconds until it is ready, and when tasks end that hold so much.
type Given = (usize, u64, Vec<(u64, i64)>);

fn future(lanes: &[Given]) -> Forecast {
    let mut future = Forecast {
        now: 10 * SECOND,
        ..Forecast::default()
    };
    for (i, price) in [0.1, 0.3, 0.2].into_iter().enumerate() {
        future.group_for(i, &Arc::from("a"), false, price);
    }
    for (line, ready, busy) in lanes {
        let mut free = Resources {
            cpu: SIZES[*line],
            gpu: 0,
            memory: SIZES[*line],
        };
        let mut releases = Vec::new();
        for (end, cpu) in busy {
            let need = Resources {
                cpu: *cpu,
                gpu: 0,
                memory: *cpu,
            };
            if need.fits(&free) {
                free -= need;
                releases.push((future.now + end * SECOND, 1, need));
            }
        }
        releases.sort_by_key(|r| Reverse(r.0));
        let ready = future.now + ready * SECOND;
        let zone = Arc::from("a");
        let lane = MachineForecast {
            group: *line,
            zone,
            free,
            available_at: ready,
            releases,
            machine: None,
            version: 0,
        };
        future.add_machine(lane);
    }
    future
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Shared books give every task the start and the price that looking at all machines would.
    #[test]
    fn a_book_shared_by_many_jobs_misses_no_better_place(
        lanes in proptest::collection::vec(
            (0..3usize, 0..40u64, proptest::collection::vec((1..90u64, 300..9000i64), 0..12)),
            1..14,
        ),
        jobs in proptest::collection::vec(
            (300..9000i64, 1..30i64, 0..60u64, 0..30u64, any::<bool>()),
            1..12,
        ),
    ) {
        let mut future = future(&lanes);
        let now = future.now;
        for (cpu, tasks, limit, from, gang) in jobs {
            let need = Resources { cpu, gpu: 0, memory: cpu };
            let shape_of = if gang { Shape::Gang } else { Shape::Array };
            let from = if from < 15 { now } else { now + from * SECOND };
            let mut w = PendingWork {
                spec: job(shape_of, tasks as u32, need),
                tasks,
                zones: ZoneTaskCounts::new(),
                run_time: 20 * SECOND,
                earliest_start: from,
                latest_start: from + limit * SECOND,
            };
            let key = coarse_shape(&need);
            prop_assert!(key.fits(&need));
            let allowed: Vec<usize> = (0..3).filter(|l| cpu <= SIZES[*l]).collect();
            let mut read: GroupCandidates = (0..3).map(|_| BinaryHeap::new()).collect();
            for _ in 0..40 {
                if w.tasks == 0 {
                    break;
                }
                let rank = |start: Micros, line: usize| {
                    let price = future.groups[line].price.to_bits();
                    let late = start > w.latest_start;
                    if late { (late, start, price) } else { (late, price, start) }
                };
                let all = future.machines.iter().filter(|l| allowed.contains(&l.group));
                let starts = all.map(|l| (l.earliest_start(&need, now), l.group));
                let naive = starts
                    .filter(|(start, _)| *start < Micros::MAX)
                    .map(|(start, line)| rank(start.max(from), line))
                    .min();
                let mut future_best = None;
                if naive.is_some() {
                    let rank_of = |c: &PlacementChoice, prices: &[f64]| {
                        let price = prices[c.line].to_bits();
                        let late = c.start > w.latest_start;
                        if late { (late, c.start, price) } else { (late, price, c.start) }
                    };
                    let prices: Vec<f64> = future.groups.iter().map(|l| l.price).collect();
                    future_best = future.best_choice(&w, &key, &allowed, &mut read);
                    let found = future_best.as_ref().map(|c| rank_of(c, &prices));
                    prop_assert_eq!(found, naive);
                }
                let Some(c) = future_best else { break };
                read[c.line].pop();
                future.machines[c.machine].reserve_tasks(&mut w, c.start);
                future.index_machine(c.machine);
            }
            future.return_candidates(&key, read);
        }
    }
}
