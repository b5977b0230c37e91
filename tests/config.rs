//! Tests the storage of configuration versions in an in-memory state service, with lost answers and concurrent
//! operators.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use gannethub::config::store::{Author, ConfigError, ConfigStore, StateClient};
use gannethub_core::configuration::{Document, TeamEntry};
use gannethub_core::http::{Answer, CallError, CallResult, Method};
use gannethub_core::settings::Settings;
use gannethub_emulators::State;
use gannethub_emulators::state::Outcome;

/// An in-memory state service with faults on the connection to it.
struct FaultyStateService {
    state: RefCell<State>,
    /// Number of coming transactions that are carried out but whose answers are lost.
    lost: Cell<usize>,
    /// Number of coming requests that are answered with status 503.
    refused: Cell<usize>,
}

impl FaultyStateService {
    fn new() -> FaultyStateService {
        let mut state = State::new(4096, 8);
        state.page = 1000;
        let state = RefCell::new(state);
        FaultyStateService {
            state,
            lost: Cell::new(0),
            refused: Cell::new(0),
        }
    }
}

/// Decrements the count of faults, and returns whether a fault is to be injected.
fn take_fault(count: &Cell<usize>) -> bool {
    let left = count.get();
    count.set(left.saturating_sub(1));
    left > 0
}

impl StateClient for FaultyStateService {
    async fn call(&self, method: Method, path: &str, body: &[u8]) -> CallResult {
        if take_fault(&self.refused) {
            return Ok(Answer::new(503, Bytes::new()));
        }
        let outcome = self
            .state
            .borrow_mut()
            .handle(method.as_str(), path, body, 0);
        let Outcome::Answer(status, body) = outcome else {
            return Err(CallError::Timeout);
        };
        if path == "/commit" && take_fault(&self.lost) {
            return Err(CallError::Timeout);
        }
        Ok(Answer::new(status, body.to_string()))
    }
}

fn base() -> Settings {
    let text = "host_name = \"n0\"\nbind = \"127.0.0.1:1\"\ncluster_listen = \"127.0.0.1:2\"\n\
                [outside]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n[cluster.state]\n\
                value_kb = 4.0\ntxn_ops = 8\n[[cluster.teams]]\nname = \"red\"\ncpus = 8.0\n\
                cpus_max = 16.0\n";
    Settings::parse(text, "test")
        .expect("the settings are valid")
        .0
}

fn author(name: &str, nonce: u64) -> Author {
    Author {
        name: name.into(),
        reason: "a reason".into(),
        changed_at: 7,
        nonce,
    }
}

fn teams(count: usize, cpus_max: f64) -> Document {
    let team = |i: usize| TeamEntry {
        name: format!("team-{i:03}"),
        cpus: 1.0,
        cpus_max,
        ..TeamEntry::default()
    };
    Document {
        teams: (0..count).map(team).collect(),
        ..Document::default()
    }
}

#[tokio::test(start_paused = true)]
async fn versions_of_300_teams_are_stored_and_rolled_back() {
    let (client, base) = (FaultyStateService::new(), base());
    let store = ConfigStore {
        client: &client,
        base: &base,
    };
    assert_eq!(store.current().await.expect("read").version(), 0);
    for version in 1..=3u64 {
        let current = store.current().await.expect("read");
        let wanted = teams(300, version as f64 * 10.0);
        let record = store
            .store(&current, wanted, &author("ada", version))
            .await
            .expect("stored");
        assert_eq!((record.version, record.author.as_str()), (version, "ada"));
    }
    let current = store.current().await.expect("read");
    assert_eq!((current.version(), current.document.teams.len()), (3, 300));
    assert_eq!(current.document.teams[7].cpus_max, 30.0);
    let first = store
        .kept_document(&current, 1)
        .await
        .expect("version 1 is kept");
    let record = store
        .store(&current, first, &author("bob", 4))
        .await
        .expect("rolled back");
    let current = store.current().await.expect("read");
    assert_eq!(
        (record.version, current.document.teams[7].cpus_max),
        (4, 10.0)
    );
    assert!(matches!(
        store.kept_document(&current, 99).await,
        Err(ConfigError::NotKept(99))
    ));
    assert_eq!(client.state.borrow().too_large, 0);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_does_not_store_a_version_twice() {
    for lost in 1..4 {
        let (client, base) = (FaultyStateService::new(), base());
        let store = ConfigStore {
            client: &client,
            base: &base,
        };
        let current = store.current().await.expect("read");
        client.lost.set(lost);
        client.refused.set(2);
        let record = store
            .store(&current, teams(3, 9.0), &author("ada", 1))
            .await
            .expect("stored");
        let current = store.current().await.expect("read");
        assert_eq!((record.version, current.version()), (1, 1));
        assert_eq!(current.history.versions.len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn second_of_two_concurrent_changes_fails_with_conflict() {
    let (client, base) = (FaultyStateService::new(), base());
    let store = ConfigStore {
        client: &client,
        base: &base,
    };
    let current = store.current().await.expect("read");
    store
        .store(&current, teams(3, 9.0), &author("ada", 1))
        .await
        .expect("stored");
    let second = store
        .store(&current, teams(5, 9.0), &author("bob", 2))
        .await;
    match second {
        Err(ConfigError::Conflict {
            version: 1,
            author,
            reason,
        }) => {
            assert_eq!((author.as_str(), reason.as_str()), ("ada", "a reason"));
        }
        other => panic!("{other:?}"),
    }
    // The document parts that the second operator had written are deleted.
    let documents = client.state.borrow().keys("gh/config/doc/");
    assert!(
        documents.iter().all(|k| k.contains("/1-0000000000000001/")),
        "{documents:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn unusable_document_is_not_stored() {
    let (client, base) = (FaultyStateService::new(), base());
    let store = ConfigStore {
        client: &client,
        base: &base,
    };
    let current = store.current().await.expect("read");
    let mut wanted = teams(1, 9.0);
    wanted.teams[0].cpus = 10.0;
    let refused = store.store(&current, wanted, &author("ada", 1)).await;
    assert!(matches!(refused, Err(ConfigError::Unusable(error)) if error.field == "teams[0].cpus"));
    let long = Document {
        policy: Some("# ".repeat(9000)),
        ..Document::default()
    };
    assert!(matches!(
        store.store(&current, long, &author("ada", 1)).await,
        Err(ConfigError::CannotSplit(_))
    ));
    assert!(client.state.borrow().keys("gh/").is_empty());
}

#[tokio::test(start_paused = true)]
async fn history_is_bounded_and_older_documents_are_deleted() {
    let (client, base) = (FaultyStateService::new(), base());
    let store = ConfigStore {
        client: &client,
        base: &base,
    };
    for version in 1..=60 {
        let current = store.current().await.expect("read");
        store
            .store(&current, teams(2, 9.0), &author("ada", version))
            .await
            .expect("stored");
    }
    let current = store.current().await.expect("read");
    let kept = current.history.versions.len();
    assert!((10..60).contains(&kept), "{kept}");
    assert_eq!(client.state.borrow().keys("gh/config/doc/").len(), kept);
}
