//! Scheduling: what runs where, in which order, and how many machines there are.
//!
//! The modules are methods of [`Cluster`](crate::state::cluster::Cluster) by concern. They read the state and write their
//! choices into it through a few methods (`place_task`, `reserve`, `preempt`), each on top of those before it in a pass. They
//! never talk to the outside: `reconcile` takes in what happens and calls them, and
//! `controller` says when a pass or a plan is due.
//!
//! | module | concern |
//! | --- | --- |
//! | [`pass`] | when a pass is made, and the pass over the queue |
//! | [`queue_order`] | the order in which jobs are served |
//! | [`limits`] | what teams may use |
//! | [`placement`], [`zones`] | first-fit placement of arrays and services under placement constraints |
//! | [`gang`], [`capacity_timeline`] | gang scheduling: all tasks at once, or capacity is gathered |
//! | [`preemption`] | capacity is made by stopping work that matters less |
//! | [`estimates`] | run times, deadlines, prices, boot times |
//! | [`downstream_demand`] | priorities and deadlines that upstream jobs inherit from the jobs that wait for them |
//! | [`failure_tracking`] | crash-looping jobs and faulty machines |
//! | [`failover`] | what may be placed before all machines are confirmed, and launch watermarks |
//! | [`autoscaler`], [`provisioning_plan`], [`forecast`], [`consolidation`] | scale out and in |
//! | [`fleet_summary`] | log lines that sum up the fleet |
//! | [`quota_partition`] | limits, machines and jobs divided among shards |

pub mod autoscaler;
mod capacity_timeline;
mod consolidation;
pub mod downstream_demand;
pub mod estimates;
pub mod failover;
pub mod failure_tracking;
mod fleet_summary;
mod forecast;
mod gang;
pub mod limits;
pub mod pass;
mod placement;
mod preemption;
mod provisioning_plan;
pub mod queue_order;
pub mod quota_partition;
pub mod zones;
