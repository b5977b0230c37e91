//! The leader's side of the usage ledger: which attempts are charged, and to whom.
//!
//! What charges, writes and decays is [`gannethub_ledger`]; here the cluster's events meet it. Where no ledger is
//! kept, every call of these modules does nothing.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`record`] | the types: open records, ends, and whom they are charged to |
//! | [`ledger`] | [`UsageLedger`](ledger::UsageLedger): all that the leader keeps beside the open records |
//! | `open_records` | attempts that are placed, found, or change their phase |
//! | `ends` | attempts that have ended, and the search for their owners |
//! | `orphans` | attempts that an earlier leader told of and that no worker has shown since |
//! | `pages` | opening the ledger, and what is durable of it |
//! | `replication` | what peers are told, so that one of them can go on |
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
pub(crate) use ends::job_owner;
pub(crate) use pages::log_damaged_page;
