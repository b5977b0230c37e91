//! Reads the pages of the ledger from controllers.

use std::net::SocketAddrV4;

use bytes::Bytes;
use gannethub_core::http::Method;
use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::LedgerError;
use crate::http::{Client, NoFinalAnswer, request_any};

/// Text in a controller's 404 answer for a page that does not exist. Other answers with status 404 are errors.
const NO_SUCH_PAGE: &str = "no such page";

/// Reads all pages that are kept, oldest first.
pub(crate) async fn fetch_pages(servers: &[SocketAddrV4]) -> Result<Vec<Page>, LedgerError> {
    let clients: Vec<Client> = servers.iter().map(|addr| Client::new(*addr)).collect();
    let Some(body) = fetch(&clients, "/api/ledger").await? else {
        return Ok(Vec::new());
    };
    let head: Head = serde_json::from_slice(&body)?;
    let mut pages = Vec::new();
    for number in head.kept.. {
        match fetch(&clients, &format!("/api/ledger?page={number}")).await? {
            Some(body) => pages.push(serde_json::from_slice(&body)?),
            None if number > head.newest => break,
            // Pages before the first existing page are folded into a balance. A page that is missing later is
            // detected by the verification of the ledger.
            None => {}
        }
    }
    Ok(pages)
}

/// Asks the controllers in turn until one gives a final answer; `None` if the requested page does not exist.
async fn fetch(clients: &[Client], path: &str) -> Result<Option<Bytes>, LedgerError> {
    let answer = match request_any(clients, Method::Get, path, &[]).await {
        Ok(answer) => answer,
        Err(NoFinalAnswer { last_status }) => return Err(LedgerError::NoAnswer { last_status }),
    };
    if answer.is_ok() {
        return Ok(Some(answer.body));
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status == 404 && body.contains(NO_SUCH_PAGE) {
        return Ok(None);
    }
    Err(LedgerError::UnexpectedAnswer {
        status: answer.status,
        body,
    })
}
