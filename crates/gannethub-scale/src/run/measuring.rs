//! What is measured of a run, and its report.

use super::*;

/// What was read of all processes at one moment.
pub(super) struct Moment {
    pub(super) at: u64,
    pub(super) usage: BTreeMap<u32, Usage>,
    pub(super) machine: Option<(f64, f64)>,
    pub(super) between: Option<u64>,
}

impl Driver {
    /// Takes everything down that was measured since the first moment.
    pub(super) async fn conclude(
        &mut self,
        first: Moment,
        heard: &mut mpsc::Receiver<Heard>,
    ) -> Result<Report, RunError> {
        let last = self.moment().await;
        self.measure(heard).await?;
        let leader = self.leader().await.unwrap_or_default();
        self.users.ask_again(ASKED_AGAIN).await;
        let until = last.at;
        let broken = self.record.borrow_mut().check(until);
        let mut rules = BTreeMap::new();
        broken
            .iter()
            .for_each(|b| *rules.entry(b.rule.to_string()).or_default() += 1);
        let words = broken.iter().take(TOLD_IN_WORDS);
        let (from, to) = (first.at, last.at);
        let seconds = (to - from) as f64 / 1e6;
        let between = last.between.zip(first.between);
        let busy = last.machine.zip(first.machine);
        let (record, latencies) = (self.record.borrow(), self.users.latencies.borrow());
        let submitted = record
            .jobs
            .values()
            .filter(|j| (from..to).contains(&j.asked))
            .count();
        let workers = self.hosts.iter().map(|h| h.hosts.len()).sum::<usize>();
        let counted = std::mem::take(&mut self.counted);
        Ok(Report {
            asked: asked(&self.options),
            reached: Reached {
                seconds,
                workers: workers as f64,
                starts: record.starts(from, to) as f64 / seconds,
                running: record.mean_running(from, to),
                jobs_submitted: submitted as f64 / seconds,
            },
            commit: commit(),
            machine_cores: std::thread::available_parallelism().map_or(0, usize::from),
            machine_busy: busy.map_or(0.0, |(l, f)| (l.0 - f.0) / (l.1 - f.1).max(0.01)),
            roles: self.roles(&first, &last, &leader),
            leader,
            state: counted.state.unwrap_or_default(),
            cloud: counted.cloud.unwrap_or_default(),
            between_controllers: between.map(|(l, f)| l.saturating_sub(f) as f64 / seconds),
            agreement: Agreement::of(&counted.real, &counted.alike),
            hollow: counted.hollow,
            real: counted.real,
            users: users_times(&record, &latencies, from, to, until),
            turned_away: latencies.turned_away,
            unanswered: latencies.unanswered,
            given_up: latencies.given_up,
            faults: self.faults.clone(),
            changes: self.operators.report(),
            ended_by_themselves: self.ended_by_themselves,
            rules,
            broken: words.map(|b| format!("{}: {}", b.rule, b.what)).collect(),
        })
    }

    pub(super) async fn moment(&self) -> Moment {
        let pids = self.pids();
        let all = pids.values().flatten();
        Moment {
            at: self.clock.now(),
            usage: all
                .filter_map(|pid| Some((*pid, Usage::of(*pid)?)))
                .collect(),
            machine: machine_busy(),
            between: bytes_between(&self.ports.cluster).await,
        }
    }

    /// The processes of each role.
    pub(super) fn pids(&self) -> BTreeMap<String, Vec<u32>> {
        let mut pids: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        let mut add =
            |role: &str, pid: Option<u32>| pids.entry(role.into()).or_default().extend(pid);
        add("state service", self.state.pid());
        add("cloud", self.cloud.pid());
        add("driver and users", Some(std::process::id()));
        for process in self.hosts.iter().filter(|h| !h.ended) {
            let real = process.kind == HostKind::Real;
            add(
                if real {
                    "real worker"
                } else {
                    "hollow workers"
                },
                process.talker.pid(),
            );
        }
        for (node, process) in self.controllers.iter().enumerate() {
            add(&format!("n{node}"), process.pid());
        }
        pids
    }

    pub(super) fn roles(
        &self,
        first: &Moment,
        last: &Moment,
        leader: &str,
    ) -> BTreeMap<String, crate::report::RoleUsage> {
        let seconds = (last.at - first.at) as f64 / 1e6;
        let mut roles: BTreeMap<String, Vec<Usage>> = BTreeMap::new();
        for (role, pids) in self.pids() {
            let role = match node_of(&role) {
                Some(_) if role == leader => "leader".to_string(),
                Some(_) => "follower".to_string(),
                None => role,
            };
            // One that was not there at first has used all of it since.
            let used = pids.iter().filter_map(|pid| {
                let before = first.usage.get(pid).copied().unwrap_or_default();
                Some(last.usage.get(pid)?.since(before))
            });
            roles.entry(role).or_default().extend(used);
        }
        roles
            .into_iter()
            .map(|(role, used)| (role, role_usage(&used, seconds)))
            .collect()
    }

    /// Has all processes tell their counts since the last time.
    pub(super) async fn measure(
        &mut self,
        heard: &mut mpsc::Receiver<Heard>,
    ) -> Result<(), RunError> {
        self.counted = Counted::default();
        self.state.tell(&ToState::Measure);
        self.cloud.tell(&ToCloud::Measure);
        self.tell_hosts(&ToHosts::Measure);
        let told = self.hosts.iter().filter(|h| !h.ended).count();
        let all = async {
            while self.counted.hosts_told < told
                || self.counted.state.is_none()
                || self.counted.cloud.is_none()
            {
                match heard.recv().await {
                    Some(message) => self.heard(message),
                    None => return,
                }
            }
        };
        timeout(PATIENCE, all)
            .await
            .map_err(|_| RunError::Silent("a process"))
    }
}

fn asked(options: &RunOptions) -> Asked {
    Asked {
        workers: options.workers,
        starts: options.starts,
        running: options.tasks_running(),
        teams: options.teams,
        zones: options.zones,
        gang: options.gang,
        controllers: options.controllers,
        seconds: options.seconds,
        warm_up: options.warm_up,
        seed: options.seed,
        real: options.real,
    }
}

fn users_times(
    record: &Record,
    latencies: &crate::users::Latencies,
    from: u64,
    to: u64,
    until: u64,
) -> BTreeMap<String, Times> {
    let within = |list: &[(u64, u64)]| {
        let inside = list.iter().filter(|(asked, _)| (from..to).contains(asked));
        Times::of(inside.map(|(_, took)| *took))
    };
    BTreeMap::from([
        ("submission".to_string(), within(&latencies.submissions)),
        ("question".to_string(), within(&latencies.questions)),
        (
            "cancellation told".to_string(),
            within(&latencies.cancellations),
        ),
        (
            "cancellation gone".to_string(),
            Times::of(record.cancellations_gone(until)),
        ),
        (
            "urgent start".to_string(),
            Times::of(record.urgent_starts(from, to)),
        ),
    ])
}

/// The sources that are measured, where they can be told.
fn commit() -> String {
    let output = std::process::Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    output.map_or(String::new(), |o| {
        String::from_utf8_lossy(&o.stdout).trim().to_string()
    })
}
