//! The leader's side of the usage ledger: the attempts that are charged, and their owners.
//!
//! The crate [`gannethub_ledger`] charges usage, writes the ledger and decays old usage; the modules here pass the
//! cluster's events to that crate. If no ledger is kept, every call of these modules does nothing.
//!
//! | module | contents |
//! | --- | --- |
//! | [`record`] | the types: open records, ends, and the owners that are charged |
//! | [`ledger`] | [`UsageLedger`](ledger::UsageLedger): all ledger state of the leader except the open records |
//! | `open_records` | attempts that are placed, found on a machine, or change their phase |
//! | `ends` | attempts that have ended, and the lookup of their owners |
//! | `orphans` | attempts that an earlier leader reported and that no worker has reported since |
//! | `pages` | opening the ledger, and the durable part of it |
//! | `replication` | messages to peers, so that a peer can continue with the records |
//! | `shares` | each team's share of all usage |

mod ends;
pub mod ledger;
mod open_records;
mod orphans;
mod pages;
pub mod record;
mod replication;
mod shares;

pub use ends::end_reason;
pub(crate) use ends::job_account;
pub(crate) use pages::log_damaged_page;
