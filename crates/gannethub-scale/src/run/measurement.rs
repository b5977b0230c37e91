//! Measures a run and builds its report.

use super::*;

/// Resource use of all processes and of the machine at one time.
pub(super) struct Snapshot {
    /// Time of the snapshot, in microseconds of the run's clock.
    pub(super) at: u64,
    /// Usage of each process, by process id.
    pub(super) usage: BTreeMap<u32, Usage>,
    /// Busy and total processor time of the machine, in seconds.
    pub(super) machine_cpu: Option<(f64, f64)>,
    /// Bytes sent between controllers so far. `None` if the count is not available.
    pub(super) peer_bytes: Option<u64>,
}

impl Driver {
    /// Builds the report of the time since the first snapshot. Takes the last snapshot, requests the status of some
    /// jobs once more, and checks the rules.
    pub(super) async fn build_report(
        &mut self,
        first: Snapshot,
        messages: &mut mpsc::Receiver<DriverMessage>,
    ) -> Result<Report, RunError> {
        let last = self.take_snapshot().await;
        self.collect_counts(messages).await?;
        let leader = self.leader().await.unwrap_or_default();
        self.users.recheck_jobs(MAX_RECHECKED_JOBS).await;
        let until = last.at;
        let violations = self.record.borrow_mut().check_rules(until);
        let mut rules = BTreeMap::new();
        violations
            .iter()
            .for_each(|v| *rules.entry(v.rule.to_string()).or_default() += 1);
        let described = violations.iter().take(MAX_DESCRIBED_VIOLATIONS);
        let (from, to) = (first.at, last.at);
        let seconds = (to - from) as f64 / 1e6;
        let peer_bytes = last.peer_bytes.zip(first.peer_bytes);
        let busy = last.machine_cpu.zip(first.machine_cpu);
        let (record, latencies) = (self.record.borrow(), self.users.latencies.borrow());
        let submitted = record
            .jobs
            .values()
            .filter(|j| (from..to).contains(&j.sent_at))
            .count();
        let workers = self.hosts.iter().map(|h| h.hosts.len()).sum::<usize>();
        let measured = std::mem::take(&mut self.measured);
        Ok(Report {
            asked: asked_sizes(&self.options),
            reached: ReachedSizes {
                seconds,
                workers: workers as f64,
                starts: record.count_starts(from, to) as f64 / seconds,
                running: record.mean_running(from, to),
                jobs_submitted: submitted as f64 / seconds,
            },
            commit: commit(),
            machine_cores: std::thread::available_parallelism().map_or(0, usize::from),
            machine_busy: busy.map_or(0.0, |(l, f)| (l.0 - f.0) / (l.1 - f.1).max(0.01)),
            roles: self.roles(&first, &last, &leader),
            leader,
            state: measured.state.unwrap_or_default(),
            cloud: measured.cloud.unwrap_or_default(),
            between_controllers: peer_bytes.map(|(l, f)| l.saturating_sub(f) as f64 / seconds),
            agreement: Agreement::of(&measured.real, &measured.comparable_hollow),
            hollow: measured.hollow,
            real: measured.real,
            users: user_times(&record, &latencies, from, to, until),
            turned_away: latencies.turned_away,
            unanswered: latencies.unanswered,
            given_up: latencies.given_up,
            faults: self.faults.clone(),
            changes: self.operators.report(),
            ended_by_themselves: self.ended_by_themselves,
            rules,
            broken: described
                .map(|v| format!("{}: {}", v.rule, v.what))
                .collect(),
        })
    }

    pub(super) async fn take_snapshot(&self) -> Snapshot {
        let pids = self.pids();
        let all_pids = pids.values().flatten();
        Snapshot {
            at: self.clock.now(),
            usage: all_pids
                .filter_map(|pid| Some((*pid, Usage::of(*pid)?)))
                .collect(),
            machine_cpu: machine_cpu_times(),
            peer_bytes: peer_bytes_sent(&self.ports.cluster).await,
        }
    }

    /// Returns the process ids of each role. Each controller is listed under its own name.
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
                process.child_process.pid(),
            );
        }
        for (node, process) in self.controllers.iter().enumerate() {
            add(&format!("n{node}"), process.pid());
        }
        pids
    }

    pub(super) fn roles(
        &self,
        first: &Snapshot,
        last: &Snapshot,
        leader: &str,
    ) -> BTreeMap<String, crate::report::RoleUsage> {
        let seconds = (last.at - first.at) as f64 / 1e6;
        let mut roles: BTreeMap<String, Vec<Usage>> = BTreeMap::new();
        for (role, pids) in self.pids() {
            let role = match controller_index(&role) {
                Some(_) if role == leader => "leader".to_string(),
                Some(_) => "follower".to_string(),
                None => role,
            };
            // A process that is missing in the first snapshot was started later, so its whole usage counts.
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

    /// Makes all child processes report their counts since the previous call, and waits for these counts.
    pub(super) async fn collect_counts(
        &mut self,
        messages: &mut mpsc::Receiver<DriverMessage>,
    ) -> Result<(), RunError> {
        self.measured = MeasuredCounts::default();
        self.state.send(&ToState::Measure);
        self.cloud.send(&ToCloud::Measure);
        self.send_to_hosts(&ToHosts::Measure);
        let expected = self.hosts.iter().filter(|h| !h.ended).count();
        let all_reported = async {
            while self.measured.worker_processes_counted < expected
                || self.measured.state.is_none()
                || self.measured.cloud.is_none()
            {
                match messages.recv().await {
                    Some(message) => self.on_message(message),
                    None => return,
                }
            }
        };
        timeout(RESPONSE_TIMEOUT, all_reported)
            .await
            .map_err(|_| RunError::NoAnswer("a process"))
    }
}

fn asked_sizes(options: &RunOptions) -> AskedSizes {
    AskedSizes {
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

fn user_times(
    record: &Record,
    latencies: &crate::users::Latencies,
    from: u64,
    to: u64,
    until: u64,
) -> BTreeMap<String, Times> {
    let within_time = |list: &[(u64, u64)]| {
        let inside = list
            .iter()
            .filter(|(sent_at, _)| (from..to).contains(sent_at));
        Times::of(inside.map(|(_, latency)| *latency))
    };
    BTreeMap::from([
        (
            "submission".to_string(),
            within_time(&latencies.submissions),
        ),
        ("question".to_string(), within_time(&latencies.status_polls)),
        (
            "cancellation told".to_string(),
            within_time(&latencies.cancellations),
        ),
        (
            "cancellation gone".to_string(),
            Times::of(record.cancellation_times(until)),
        ),
        (
            "urgent start".to_string(),
            Times::of(record.urgent_start_times(from, to)),
        ),
    ])
}

/// Returns the short hash of the checked-out commit, or an empty text if git fails. The controllers' program is
/// assumed to be built from this commit.
fn commit() -> String {
    let output = std::process::Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    output.map_or(String::new(), |o| {
        String::from_utf8_lossy(&o.stdout).trim().to_string()
    })
}
