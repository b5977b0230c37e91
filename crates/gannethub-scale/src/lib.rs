//! Scale runs: gannethub's controllers, as real processes, under the load of many workers on one machine.
//!
//! Emulators of the state service and of the cloud run in processes of their own. Most workers are hollow: they speak
//! the whole protocol, but run their tasks by the clock only. Some workers are real processes. The rules are checked
//! against the events that workers and users observed.

pub mod changes;
pub mod cloud_role;
pub mod deployment;
pub mod fit;
pub mod gangs;
pub mod host_role;
pub mod load;
pub mod messages;
pub mod options;
pub mod process;
pub mod record;
pub mod report;
pub mod role;
pub mod run;
pub mod state_role;
pub mod users;
