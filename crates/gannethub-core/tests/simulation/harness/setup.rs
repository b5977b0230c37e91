//! Construction of a test's world: number of controllers, settings and policy.

use super::*;

/// Returns the settings of controller `i` of `n`, after `change` has edited the settings file.
fn settings(i: usize, n: usize, lease_s: f64, change: &dyn Fn(String) -> String) -> Arc<Settings> {
    let mut text = format!(
        "host_name = \"n{i}\"\narea = \"z{i}\"\nbind = \"10.0.0.{i}:80\"\n\
         cluster_listen = \"10.0.0.{i}:81\"\n[outside]\ncloud = \"10.1.0.1:1\"\n\
         state = \"10.1.0.2:1\"\n[cluster]\n[cluster.workers]\nreport_s = 1.0\n\
         lease_s = {lease_s:.1}\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = 35.0\n\
         [cluster.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 16.0\ntxn_ops = 8\n\
         [cluster.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n"
    );
    for (name, limit) in [("red", 16.0), ("blue", 40.0)] {
        text +=
            &format!("[[cluster.teams]]\nname = \"{name}\"\ncpus = 8.0\ncpus_max = {limit:.1}\n");
        text += "gpus = 2.0\ngpus_max = 8.0\n";
    }
    for j in (0..n).filter(|j| *j != i) {
        text += &format!("[[siblings]]\nhost_name = \"n{j}\"\narea = \"z{j}\"\n");
        text += &format!("peer_addr = \"10.0.0.{j}:81\"\n");
    }
    Arc::new(
        Settings::parse(&change(text), "test.toml")
            .expect("the test's settings are valid")
            .0,
    )
}

impl World {
    pub fn new(nodes: usize, seed: u64) -> World {
        World::with_lease(nodes, seed, WORKER_LEASE as f64 / SECOND as f64)
    }

    /// Creates a world whose controllers are configured with a lease of `believed_s` seconds, which may differ from the
    /// workers' actual lease.
    pub fn with_lease(nodes: usize, seed: u64, believed_s: f64) -> World {
        World::with_settings(nodes, seed, believed_s, &|text| text)
    }

    /// Creates a world whose controllers are configured with a lease of `believed_s` seconds and a settings file that
    /// `change` has edited.
    pub fn with_settings(
        nodes: usize,
        seed: u64,
        believed_s: f64,
        change: &dyn Fn(String) -> String,
    ) -> World {
        let mut world = World {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            settings: (0..nodes)
                .map(|i| settings(i, nodes, believed_s, change))
                .collect(),
            state: State::new(16 * 1024, 8),
            held_messages: Vec::new(),
            kept_relay_answers: Vec::new(),
            relays: HashSet::new(),
            kept_copies: Vec::new(),
            last_seen_term: 0,
            repeats_requests: false,
            cancel_at_end: 0.0,
            invalid_submissions: BTreeMap::new(),
            confirmed_cancellations: HashSet::new(),
            images: Default::default(),
            faults: Faults::default(),
            counters: Counters::default(),
            workers: BTreeMap::new(),
            cloud: Cloud::default(),
            events: BinaryHeap::new(),
            queue: HashMap::new(),
            seq: 0,
            watches: Vec::new(),
            connections: HashMap::new(),
            jobs: BTreeMap::new(),
            violations: Vec::new(),
            refusals: Vec::new(),
            starts: 0,
            starts_by_job: HashMap::new(),
            cancel_refusals: Vec::new(),
            gang_peer_timeout: 5 * SECOND,
            extra_queries: 0,
            failures: Vec::new(),
            respects_idle_time: false,
            record: Record::default(),
            completed_tasks: HashSet::new(),
            stored_done_counts: HashMap::new(),
            config_versions: Vec::new(),
            document: Document::default(),
            max_answer_delay: config_changes::MAX_ANSWER_DELAY,
            unanswered: 0,
            answers_expected_since: 0,
            run_time_range: (2 * SECOND, 8 * SECOND),
        };
        for i in 0..nodes {
            world.nodes.push(Node {
                controller: None,
                incarnation: 0,
                started_at: 0,
                last_step_at: 0,
                ticks: 0,
            });
            world.restart(i);
        }
        world
    }

    /// Creates a world in which a ledger is kept.
    pub fn with_ledger(nodes: usize, seed: u64, change: &dyn Fn(String) -> String) -> World {
        let mut world =
            World::with_settings(nodes, seed, WORKER_LEASE as f64 / SECOND as f64, change);
        let keys = KeyRing::parse(&KeyRing::write("k1", &[7; 32])).expect("a key");
        let text = "keys = \"k\"\nhalf_life_s = 60.0\n";
        for settings in &mut world.settings {
            let mut own = (**settings).clone();
            let ledger =
                gannethub_ledger::Settings::parse(text, "ledger", &own.default_ledger_shares());
            own.ledger = Some(LedgerSetup {
                settings: Arc::new(ledger.expect("the test's settings are valid")),
                keys: Arc::new(keys.clone()),
            });
            *settings = Arc::new(own);
        }
        (0..nodes).for_each(|i| world.restart(i));
        world
    }

    /// Creates a world whose machines are divided into `shards` shards.
    pub fn with_shards(
        nodes: usize,
        seed: u64,
        shards: u32,
        change: &dyn Fn(String) -> String,
    ) -> World {
        let mut world =
            World::with_settings(nodes, seed, WORKER_LEASE as f64 / SECOND as f64, change);
        world.set_shard_count(shards);
        (0..nodes).for_each(|i| world.restart(i));
        world
    }

    /// Sets the number of shards for controllers that start from now on.
    pub fn set_shard_count(&mut self, shards: u32) {
        self.set_policy(&format!("blocks = {shards}"));
    }

    /// Sets the policy of controllers that start from now on.
    pub fn set_policy(&mut self, text: &str) {
        for settings in &mut self.settings {
            let mut own = (**settings).clone();
            own.policy = Policy::parse(text).expect("the test's policy is valid");
            *settings = Arc::new(own);
        }
    }

    /// Returns the pages of the ledger that the state service holds.
    pub fn ledger(&self) -> Vec<Page> {
        let keys = self.state.keys("gh/ledger/page/");
        let page = |k: &String| {
            self.state
                .value(k)
                .and_then(|v| serde_json::from_value(v.clone()).ok())
        };
        keys.iter().filter_map(page).collect()
    }

    pub fn settings(&self) -> &Settings {
        &self.settings[0]
    }
}
