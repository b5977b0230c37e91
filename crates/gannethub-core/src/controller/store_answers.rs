//! Dispatch of answers of the state service and the cloud to the part that sent the request.

use std::sync::Arc;

use super::Controller;
use super::job_views::{JobProgress, ProgressLookup};
use super::membership::Membership;
use super::outbox::{Outbox, PendingCloudCall};
use super::pending_request::{
    AssignmentRequest, JobApiRequest, MembershipRequest, OwnerRequest, PendingRequest,
};
use super::shard_owner::ShardOwners;
use crate::http::CallResult;
use crate::model::JobId;
use crate::wire::cloud;

impl Controller {
    /// Handles the outcome of a request to the state service.
    pub(super) fn handle_store_answer(&mut self, id: u64, answer: CallResult) {
        let Some(request) = self.outbox.pending_requests.remove(&id) else {
            return;
        };
        let status = answer.as_ref().ok().map(|answer| answer.status);
        self.outbox.record_store_status(status, request.is_watch());
        match request {
            PendingRequest::Membership(request) => self.handle_membership_answer(request, &answer),
            PendingRequest::ShardAssignment(request) => {
                self.handle_assignment_answer(request, &answer);
            }
            PendingRequest::ShardOwner { term, request } => {
                self.handle_owner_answer(term, request, answer);
            }
            PendingRequest::JobApi(request) => self.handle_job_api_answer(request, &answer),
            PendingRequest::Configuration(read) => {
                self.handle_configuration_answer(read, &answer);
            }
            PendingRequest::RevokeStoreLease { shard, store_lease } => {
                let is_gone = matches!(status, Some(200 | 204 | 404));
                if let Some(election) = self.election_mut(shard).filter(|_| is_gone) {
                    election.store_lease_revoked(store_lease);
                }
            }
        }
    }

    fn handle_membership_answer(&mut self, request: MembershipRequest, answer: &CallResult) {
        let outbox = &mut self.outbox;
        match request {
            MembershipRequest::Probe => self.membership.handle_probe_answer(outbox, answer),
            MembershipRequest::AcquireLease { requested_at } => {
                self.membership
                    .handle_lease_answer(outbox, requested_at, answer);
            }
            MembershipRequest::TakeOver(takeover) => self.handle_leader_takeover(takeover, answer),
        }
    }

    fn handle_assignment_answer(&mut self, request: AssignmentRequest, answer: &CallResult) {
        let outbox = &mut self.outbox;
        match request {
            AssignmentRequest::Probe => {
                self.shard_assignments.handle_probe_answer(outbox, answer);
            }
            AssignmentRequest::AcquireLease {
                shard,
                requested_at,
            } => {
                self.shard_assignments
                    .handle_lease_answer(outbox, shard, requested_at, answer);
            }
            AssignmentRequest::ReadTerms(lease) => {
                self.shard_assignments
                    .handle_terms_answer(outbox, lease, answer);
            }
            AssignmentRequest::TakeOver(takeover) => self.handle_shard_takeover(takeover, answer),
        }
    }

    fn handle_owner_answer(&mut self, term: u64, request: OwnerRequest, answer: CallResult) {
        if let Some(owner) = Controller::owner_of_term(&mut self.shard_owners, term) {
            let usage_replica = &mut self.usage_replica;
            owner.handle_store_answer(&mut self.outbox, usage_replica, request, answer);
        }
    }

    fn handle_job_api_answer(&mut self, request: JobApiRequest, answer: &CallResult) {
        let (outbox, job_api) = (&mut self.outbox, &mut self.job_api);
        match request {
            JobApiRequest::ReadLedger { connection, team } => {
                job_api.handle_ledger_answer(outbox, connection, team, answer);
            }
            JobApiRequest::LookUpJob { job, finished } => {
                with_progress(
                    &self.membership,
                    &self.shard_owners,
                    outbox,
                    |outbox, progress| {
                        job_api.handle_lookup_answer(outbox, job, finished, answer, progress);
                    },
                );
            }
            JobApiRequest::ReadUpstreamOutcome { job } => {
                let leader = self.shard_owners.get_mut(&0).map(|leader| &mut **leader);
                job_api.handle_upstream_outcome_answer(outbox, job, answer, leader);
            }
            JobApiRequest::ReadUpstreamJob { connection, job } => {
                job_api.handle_upstream_job_answer(outbox, connection, job, answer);
            }
            JobApiRequest::ListLiveJobs => job_api.handle_listing_answer(outbox, answer),
            JobApiRequest::ReadChanges => {
                with_progress(
                    &self.membership,
                    &self.shard_owners,
                    outbox,
                    |outbox, progress| {
                        job_api.handle_refresh_answer(outbox, answer, progress);
                    },
                );
                self.read_dependency_outcomes();
            }
            JobApiRequest::AcceptJobs { jobs } => {
                job_api.handle_accept_answer(outbox, jobs, answer);
            }
            JobApiRequest::CancelJob {
                job,
                target,
                connections,
                view,
            } => job_api.handle_cancel_answer(outbox, job, target, connections, &view, answer),
        }
    }

    /// Handles the outcome of a call to the cloud.
    pub(super) fn handle_cloud_answer(&mut self, id: u64, answer: &CallResult) {
        let Some(pending) = self.outbox.pending_cloud_calls.remove(&id) else {
            return;
        };
        let PendingCloudCall { owner_term, call } = pending;
        match owner_term {
            None => {
                if let Some(machine_types) = cloud::decode_machine_types(answer) {
                    self.outbox.machine_types = Arc::new(machine_types);
                }
            }
            Some(term) => {
                if let Some(owner) = Controller::owner_of_term(&mut self.shard_owners, term) {
                    owner.handle_cloud_answer(&self.outbox, call, answer);
                }
            }
        }
    }
}

/// Calls `answer_queries` with a look-up of the progress of jobs, which this controller's own shards and the reachable
/// peers report.
fn with_progress(
    membership: &Membership,
    owners: &ShardOwners,
    outbox: &mut Outbox,
    answer_queries: impl FnOnce(&mut Outbox, ProgressLookup<'_>),
) {
    let reported = membership.running_jobs(outbox);
    let peer_progress = |job: &JobId| reported.iter().find_map(|jobs| jobs.get(&**job).copied());
    let own_progress = |job: &JobId| owners.values().find_map(|owner| owner.progress(job));
    let progress =
        |job: &JobId| -> Option<JobProgress> { own_progress(job).or_else(|| peer_progress(job)) };
    answer_queries(outbox, &progress);
}
