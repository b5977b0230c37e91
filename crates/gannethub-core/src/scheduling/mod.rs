//! Scheduling: which tasks run on which machines, in which order, and how many machines are provisioned.
//!
//! The modules add methods to [`Cluster`](crate::state::cluster::Cluster), grouped by concern. The methods read the
//! state and record their decisions in it through a few methods (`place_task`, `reserve`, `preempt`), so each
//! decision of a pass builds on the decisions before it. Scheduling code never talks to other processes: `reconcile`
//! applies incoming events and calls these methods, and `controller` decides when a pass or a plan is due.
//!
//! | module | concern |
//! | --- | --- |
//! | [`pass`] | when a scheduling pass runs, and the pass over the queue |
//! | [`queue_order`] | the order in which jobs are served |
//! | [`limits`] | teams' limits and the remaining quota |
//! | [`placement`], [`zones`], [`zone_choice`] | first-fit placement of arrays and services under placement constraints |
//! | [`gang`], [`capacity_timeline`] | gang scheduling: a gang is placed as a whole, or capacity is gathered for it |
//! | [`preemption`] | freeing capacity by stopping less important work |
//! | [`estimates`] | run times, deadlines, prices, boot times |
//! | [`downstream_demand`] | priorities and deadlines that upstream jobs inherit from the jobs that wait for them |
//! | [`failure_tracking`] | crash-looping jobs and faulty machines |
//! | [`failover`] | placement before all machines are confirmed, and launch watermarks |
//! | [`autoscaler`], [`provisioning_plan`], [`forecast`], [`consolidation`] | scale out and in |
//! | [`fleet_summary`] | log lines that summarise the fleet |
//! | [`quota_partition`] | division of limits, machines and jobs among shards |

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
mod zone_choice;
pub mod zones;
