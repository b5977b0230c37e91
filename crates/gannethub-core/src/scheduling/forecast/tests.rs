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

/// Sizes of the three groups of machines: cheap, expensive and large ones.
const SIZES: [i64; 3] = [4000, 4000, 32_000];

/// A machine: its group, the seconds until it is available, and its tasks as pairs of seconds to the end and held
/// CPU.
type MachineInput = (usize, u64, Vec<(u64, i64)>);

fn forecast(machines: &[MachineInput]) -> Forecast {
    let mut forecast = Forecast::new(10 * SECOND);
    for (machine_type, price) in [0.1, 0.3, 0.2].into_iter().enumerate() {
        let key = MachineGroupKey {
            machine_type,
            zone: "a".into(),
            spot: false,
        };
        forecast.group_for(&key, price);
    }
    for (group, seconds, running_tasks) in machines {
        let mut free = Resources {
            cpu: SIZES[*group],
            gpu: 0,
            memory: SIZES[*group],
        };
        let mut releases = Vec::new();
        for (end, cpu) in running_tasks {
            let need = Resources {
                cpu: *cpu,
                gpu: 0,
                memory: *cpu,
            };
            if need.fits(&free) {
                free -= need;
                releases.push(Release {
                    at: forecast.now + end * SECOND,
                    tasks: 1,
                    resources: need,
                });
            }
        }
        releases.sort_by_key(|release| Reverse(release.at));
        forecast.add_machine(MachineForecast {
            group: *group,
            zone: "a".into(),
            free,
            available_at: forecast.now + seconds * SECOND,
            releases,
            machine: None,
            avoided_by: Vec::new(),
            version: 0,
        });
    }
    forecast
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// A shared index gives every task the start and the price that a scan of all machines gives.
    #[test]
    fn shared_index_finds_the_best_choice_of_a_full_scan(
        machines in proptest::collection::vec(
            (0..3usize, 0..40u64, proptest::collection::vec((1..90u64, 300..9000i64), 0..12)),
            1..14,
        ),
        jobs in proptest::collection::vec(
            (300..9000i64, 1..30i64, 0..60u64, 0..30u64, any::<bool>()),
            1..12,
        ),
    ) {
        let mut forecast = forecast(&machines);
        let now = forecast.now;
        for (cpu, tasks, limit, from, gang) in jobs {
            let resources = Resources { cpu, gpu: 0, memory: cpu };
            let job_shape = if gang { Shape::Gang } else { Shape::Array };
            let from = if from < 15 { now } else { now + from * SECOND };
            let mut work = PendingWork {
                job: None,
                spec: job(job_shape, tasks as u32, resources),
                tasks,
                zones: ZoneTaskCounts::new(),
                excluded_zones: Vec::new(),
                run_time: 20 * SECOND,
                earliest_start: from,
                latest_start: from + limit * SECOND,
            };
            let shape = coarse_shape(&resources);
            prop_assert!(shape.fits(&resources));
            let eligible: Vec<usize> = (0..3).filter(|group| cpu <= SIZES[*group]).collect();
            let mut candidates = Candidates::new(shape, eligible.clone());
            candidates.resize(3);
            for _ in 0..40 {
                if work.tasks == 0 {
                    break;
                }
                let rank = |start: Micros, group: usize| {
                    let price = forecast.groups[group].price.to_bits();
                    let late = start > work.latest_start;
                    if late { (late, start, price) } else { (late, price, start) }
                };
                let all = forecast.machines.iter().filter(|m| eligible.contains(&m.group));
                let starts = all.map(|m| (m.earliest_start(&resources, now), m.group));
                let expected = starts
                    .filter(|(start, _)| *start < Micros::MAX)
                    .map(|(start, group)| rank(start.max(from), group))
                    .min();
                let mut choice = None;
                if expected.is_some() {
                    let rank_of = |choice: &PlacementChoice, prices: &[f64]| {
                        let price = prices[choice.group].to_bits();
                        let late = choice.start > work.latest_start;
                        if late { (late, choice.start, price) } else { (late, price, choice.start) }
                    };
                    let prices: Vec<f64> = forecast.groups.iter().map(|group| group.price).collect();
                    choice = forecast.best_choice(&work, &mut candidates);
                    let found = choice.as_ref().map(|choice| rank_of(choice, &prices));
                    prop_assert_eq!(found, expected);
                }
                let Some(choice) = choice else { break };
                forecast.take(choice, &mut work, &mut candidates);
            }
            forecast.return_candidates(candidates);
        }
    }
}
