//! Scale runs: gannethub's controllers, as real processes, under the load of many workers on one machine.
//!
//! The state service and the cloud are stand-ins in processes of their own, most workers are hollow (they speak the whole
//! protocol, and run tasks by the clock), some are real processes. The rules are checked by what workers and users saw.

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
