//! Which version is in force at which controller, as they tell themselves and of one another.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use gannethub_core::http::{Method, decode_ok};
use serde::Deserialize;
use tokio::time::sleep;

use super::CommandError;
use crate::http::Client;

const PATIENCE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(100);
/// No controller acts on an older version for longer than this, whether it is heard or not.
const EVERYWHERE: Duration = Duration::from_secs(7);
/// How long is waited for controllers to say that a version is in force with them.
const LONGEST: Duration = Duration::from_secs(60);

/// The answer to `GET /api/config`, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Told {
    newest: u64,
    refused: Option<String>,
    nodes: Vec<NodeTold>,
}

#[derive(Debug, Deserialize)]
struct NodeTold {
    name: String,
    heard: bool,
    version: Option<u64>,
}

async fn ask(controllers: &[SocketAddrV4]) -> Vec<Told> {
    let mut told = Vec::new();
    for addr in controllers {
        let answer = Client::new(*addr)
            .call(Method::Get, "/api/config", b"", PATIENCE)
            .await;
        told.extend(decode_ok::<Told>(&answer));
    }
    told
}

/// Refuses a change while a controller is heard that would not know of it, or one was never heard.
pub async fn refuse_old(controllers: &[SocketAddrV4]) -> Result<(), CommandError> {
    let told = ask(controllers).await;
    if told.is_empty() {
        return Err(CommandError::NoController(controllers.to_vec()));
    }
    let newest = newest(&told);
    let old: Vec<String> = newest
        .into_iter()
        .filter(|(_, v)| v.is_none())
        .map(|(name, _)| name)
        .collect();
    if old.is_empty() {
        Ok(())
    } else {
        Err(CommandError::OldControllers(old))
    }
}

/// The newest version that anybody tells of each controller.
fn newest(told: &[Told]) -> BTreeMap<String, Option<u64>> {
    let mut newest: BTreeMap<String, Option<u64>> = BTreeMap::new();
    for node in told.iter().flat_map(|t| &t.nodes) {
        let known = newest.entry(node.name.clone()).or_default();
        *known = (*known).max(node.version);
    }
    newest
}

/// Waits until all controllers that are heard have a version in force, and no other can act on an older one. Returns
/// after how many seconds that was.
pub async fn in_force(controllers: &[SocketAddrV4], version: u64) -> Result<f64, CommandError> {
    let began = Instant::now();
    let mut missing = Vec::new();
    while began.elapsed() < LONGEST {
        let told = ask(controllers).await;
        let refused = told
            .iter()
            .filter(|t| t.newest == version)
            .find_map(|t| t.refused.clone());
        if let Some(reason) = refused {
            return Err(CommandError::CannotUse { version, reason });
        }
        let newest = newest(&told);
        let heard = |name: &String| {
            let nodes = told.iter().flat_map(|t| &t.nodes);
            nodes.into_iter().any(|n| n.heard && n.name == *name)
        };
        let behind = |v: &Option<u64>| v.is_none_or(|v| v < version);
        missing = newest
            .iter()
            .filter(|(_, v)| behind(v))
            .map(|(n, _)| n.clone())
            .collect();
        let fenced = began.elapsed() >= EVERYWHERE && !missing.iter().any(heard);
        if !told.is_empty() && (missing.is_empty() || fenced) {
            missing
                .iter()
                .for_each(|n| println!("not heard from {n}, which starts nothing"));
            return Ok(began.elapsed().as_secs_f64());
        }
        sleep(PAUSE).await;
    }
    Err(CommandError::NotInForce {
        version,
        seconds: LONGEST.as_secs(),
        missing,
    })
}
