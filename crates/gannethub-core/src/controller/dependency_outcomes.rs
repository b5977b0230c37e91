//! Reads the outcomes of upstream jobs. A job without a live record is finished, or was never accepted. Only its
//! finished record tells which of the two holds, and whether its downstream jobs may run.

use std::collections::BTreeSet;

use super::job_api::JobApi;
use super::job_views::finished_job_view_of_read;
use super::key_read::KeyRead;
use super::outbox::Outbox;
use super::pending_request::JobApiRequest;
use super::shard_owner::ShardOwner;
use crate::http::CallResult;
use crate::model::{JobId, Micros, SECOND};
use crate::wire::api::JobStatus;
use crate::wire::budget::Urgency;
use crate::wire::store::{self, StoreRequest};

/// Maximum number of outcomes for which reads are sent at once.
const MAX_OUTCOME_READS: usize = 20;
/// Time after which a read without an answer is repeated.
const OUTCOME_READ_TIMEOUT: Micros = 3 * SECOND;
/// Time after which a job is read again that is not finished or whose record could not be read.
const OUTCOME_RETRY_INTERVAL: Micros = SECOND / 2;

impl JobApi {
    /// Reads the outcomes that the replica lacks, and those that the leader lacks if this controller is the leader.
    pub fn read_dependency_outcomes(&mut self, outbox: &mut Outbox, leader: Option<&ShardOwner>) {
        let now = outbox.clock.now;
        let leader_is_complete =
            leader.is_none_or(|leader| leader.cluster.pipelines.dependencies.is_complete());
        if leader_is_complete && self.job_replica.dependencies.is_complete() {
            return;
        }
        self.outcome_reads.retain(|_, until| now < *until);
        for job in self.outcomes_to_read(leader) {
            let request = StoreRequest::get(&store::finished_job_key(&job));
            self.outcome_reads
                .insert(job.clone(), now + OUTCOME_READ_TIMEOUT);
            let pending = JobApiRequest::ReadUpstreamOutcome { job };
            outbox.send_to_store(Urgency::Transaction, request, pending);
        }
    }

    /// Returns the jobs whose outcomes have to be read now. While the replica or the leader's state is still being
    /// read, the jobs that are unknown there are left out, since the rest of the read may still contain them.
    fn outcomes_to_read(&self, leader: Option<&ShardOwner>) -> Vec<JobId> {
        let mut unknown: BTreeSet<&JobId> = BTreeSet::new();
        if let Some(leader) = leader.filter(|leader| leader.is_loaded()) {
            unknown.extend(leader.cluster.pipelines.dependencies.unknown_outcomes());
        }
        if self.job_replica.version().is_some() {
            unknown.extend(self.job_replica.dependencies.unknown_outcomes());
        }
        let wanted = unknown
            .into_iter()
            .filter(|job| !self.outcome_reads.contains_key(*job));
        wanted.take(MAX_OUTCOME_READS).cloned().collect()
    }

    /// Handles the answer to a read of the outcome of an upstream job.
    pub fn handle_upstream_outcome_answer(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        answer: &CallResult,
        leader: Option<&mut ShardOwner>,
    ) {
        let now = outbox.clock.now;
        let Some(view) = finished_job_view_of_read(&KeyRead::from(answer)) else {
            self.outcome_reads.insert(job, now + OUTCOME_RETRY_INTERVAL);
            return;
        };
        self.outcome_reads.remove(&job);
        if let Some(leader) = leader.filter(|leader| leader.is_loaded()) {
            let is_cancelled = view.status == JobStatus::Cancelled;
            leader.cluster.mark_upstream_ended(&job, Some(is_cancelled));
        }
        self.job_replica.record_upstream_end(job, view);
        self.refresh(outbox);
    }
}
