//! Waiting jobs: taking in their records, and writing down what follows from the ends of others.

use std::sync::Arc;

use crate::model::{JobId, seconds_from_micros};
use crate::state::cluster::Cluster;
use crate::state::dependencies::{DependencyOutcome, PipelineEffects};
use crate::state::pipeline::WaitingJob;
use crate::state::shard_load;
use crate::state::writes::{BatchedWrite, WriteBatch};
use crate::wire::store::{self, FinishedJobRecord, JobRecord, Transaction, WaitingRecord};

/// So many tasks of a released job may be launched without another write.
const RELEASE_WATERMARK: u32 = 128;

impl Cluster {
    /// Takes in the record of a waiting job.
    pub fn apply_waiting_job(&mut self, id: &str, record: WaitingRecord, stamp: u64) {
        let id: JobId = id.into();
        if self.shard.id != 0 {
            return;
        }
        if self.jobs.contains_key(&id) || self.store_writes.has_tombstone(&id, stamp) {
            return;
        }
        let upstream = store::decode_job_ids(&record.waiting.upstream_ids);
        let lines = &mut self.pipelines;
        let known = lines.waiting.contains_key(&id);
        let w = lines
            .waiting
            .entry(id.clone())
            .or_insert_with(|| WaitingJob {
                spec: Arc::new(record.waiting.job),
                accepted_at: record.accepted_at,
                version: stamp,
                upstream_ids: record.waiting.upstream_ids,
                downstream_demand: None,
                cancellation_recorded: false,
                write_in_flight: false,
                version_unknown: false,
            });
        w.version = w.version.max(stamp);
        w.cancellation_recorded |= record.cancelled;
        w.version_unknown = false;
        let (jobs, waiting, foreign) = (&self.jobs, &lines.waiting, &self.other_shards.jobs);
        let fate = |u: &JobId| match jobs.get(u) {
            None if foreign.contains_key(u) => DependencyOutcome::Live,
            Some(j) if j.cancelled => DependencyOutcome::Cancelled,
            Some(_) => DependencyOutcome::Live,
            None if waiting.contains_key(u) => DependencyOutcome::Live,
            None => DependencyOutcome::Unknown,
        };
        let consequences = lines
            .dependencies
            .add_waiting(&id, &upstream, record.cancelled, fate);
        lines.pending_writes.insert(id.clone());
        lines.dependencies_changed = true;
        if !known {
            let class = &lines.waiting[&id].spec.class;
            let on = lines.dependencies.open_dependencies(&id).join(" ");
            tracing::info!(job = %id, %class, %on, "waits for others");
        }
        self.queue_pipeline_writes(&id, consequences);
    }

    /// What a change upstream leads to is written down with the next transactions.
    fn queue_pipeline_writes(&mut self, cause: &str, consequences: PipelineEffects) {
        let PipelineEffects {
            released,
            cancelled,
        } = consequences;
        if !cancelled.is_empty() {
            tracing::info!(job = cause, jobs = cancelled.len(), "cancelled with it");
        }
        let lines = &mut self.pipelines;
        if !(released.is_empty() && cancelled.is_empty()) {
            lines.dependencies_changed = true;
        }
        lines.pending_writes.extend(released);
        lines.pending_writes.extend(cancelled);
    }

    /// A job that others may wait for has been cancelled by its user.
    pub fn mark_upstream_cancelled(&mut self, id: &str) {
        let consequences = self.pipelines.dependencies.cancel(&id.into());
        self.queue_pipeline_writes(id, consequences);
    }

    /// A job that others may wait for is over; `cancelled` is what its stored end says, if it is known.
    pub fn mark_upstream_ended(&mut self, id: &str, cancelled: Option<bool>) {
        let id: JobId = id.into();
        match cancelled {
            Some(cancelled) => {
                let consequences = self.pipelines.dependencies.mark_ended(&id, cancelled);
                self.queue_pipeline_writes(&id, consequences);
            }
            None => self.pipelines.dependencies.mark_outcome_unknown(&id),
        }
    }

    /// A job's record shows that it waits no more.
    pub fn mark_upstream_released(&mut self, id: &JobId) {
        let lines = &mut self.pipelines;
        lines.dependencies.mark_live(id);
        if lines.waiting.remove(id).is_some() {
            lines.pending_writes.remove(id);
            lines.dependencies.mark_released(id);
            lines.dependencies_changed = true;
        }
    }

    /// Adds releases and cancellations to a transaction, as far as its limits go: first what lets
    /// work begin, then what users were told, then what only tidies up.
    pub fn add_pipeline_writes(
        &mut self,
        commit: &mut Transaction,
        batch: &mut WriteBatch,
        bytes: &mut usize,
    ) {
        let most = self.max_transaction_changes();
        let lines = &mut self.pipelines;
        let mut due: Vec<(u8, JobId)> = Vec::new();
        for id in std::mem::take(&mut lines.pending_writes) {
            let Some(w) = lines.waiting.get(&id) else {
                continue;
            };
            let step = match (
                lines.dependencies.is_cancelled(&id),
                w.cancellation_recorded,
            ) {
                (false, _) if lines.dependencies.is_ready(&id) => 0,
                // It goes on waiting. What happens upstream brings it here again.
                (false, _) => continue,
                (true, false) => 1,
                (true, true) => 2,
            };
            due.push((step, id));
        }
        due.sort();
        for (step, id) in due {
            lines.pending_writes.insert(id.clone());
            let Some(w) = lines
                .waiting
                .get_mut(&id)
                .filter(|w| !w.write_in_flight && !w.version_unknown)
            else {
                continue;
            };
            let changes = if step == 2 { 2 } else { 1 };
            if commit.change_count() + changes > most || *bytes > 40_000 {
                continue;
            }
            let live = format!("{}{id}", store::LIVE_JOB_PREFIX);
            commit.guard(&live, w.version);
            match step {
                0 => {
                    let mut record = JobRecord::new((*w.spec).clone(), w.accepted_at);
                    record.ready_at = Some(self.unix_time.max(w.accepted_at));
                    // It is most likely to start at once.
                    record.watermark = Some(w.spec.tasks.min(RELEASE_WATERMARK));
                    record.shard = shard_load::choose_home_shard(
                        &mut self.other_shards.loads,
                        u32::MAX,
                        &w.spec,
                    );
                    if record.shard != 0 {
                        // Whoever holds that block may know of others to go first.
                        record.watermark = Some(0);
                    }
                    commit.put(&live, record.to_value(), None);
                    batch.push(
                        BatchedWrite::JobRelease {
                            id: id.clone(),
                            record: Box::new(record),
                        },
                        live,
                    );
                }
                1 => {
                    // It is marked before it ends: whoever follows only its own record then sees it
                    // end as cancelled, the version before pipelines too.
                    let upstream = store::decode_job_ids(&w.upstream_ids);
                    let spec = (*w.spec).clone();
                    let record = WaitingRecord::new(spec, w.accepted_at, true, &upstream);
                    commit.put(&live, store::to_raw_value(&record), None);
                    batch.push(
                        BatchedWrite::WaitingJobCancellation { id: id.clone() },
                        live,
                    );
                }
                _ => {
                    let over = FinishedJobRecord {
                        cancelled: true,
                        tasks: w.spec.tasks,
                        owner: None,
                    };
                    commit.end_job(&id, &over);
                    batch.push(
                        BatchedWrite::JobEnd {
                            id: id.clone(),
                            cancelled: true,
                            deadline_missed_by_s: None,
                        },
                        live,
                    );
                }
            }
            *bytes += 1500;
            w.write_in_flight = true;
        }
    }

    /// What was written about a waiting job is in the state service.
    pub fn apply_pipeline_write(&mut self, item: &BatchedWrite, stamp: u64) {
        match item {
            BatchedWrite::JobRelease { id, record } => {
                let waited_s =
                    seconds_from_micros(self.unix_time.saturating_sub(record.accepted_at)) as u32;
                tracing::info!(job = %id, class = %record.spec.class, waited_s, "released");
                self.apply_job_record(id, (**record).clone(), stamp);
            }
            BatchedWrite::WaitingJobCancellation { id } => {
                if let Some(w) = self.pipelines.waiting.get_mut(id) {
                    w.version = w.version.max(stamp);
                    w.cancellation_recorded = true;
                    w.write_in_flight = false;
                }
            }
            _ => {}
        }
    }

    /// Whether it was written is not known, or it was not.
    pub fn pipeline_write_failed(&mut self, id: &JobId, unsure: bool) {
        if let Some(w) = self.pipelines.waiting.get_mut(id) {
            w.write_in_flight = false;
            w.version_unknown = unsure;
        }
    }

    /// A waiting job's live record is gone: only a cancelled one ends without a release.
    pub fn remove_waiting_job(&mut self, id: &str) -> bool {
        let gone = self.pipelines.waiting.remove(id).is_some();
        if gone {
            self.pipelines.pending_writes.remove(id);
            self.mark_upstream_ended(id, Some(true));
        }
        gone
    }
}
