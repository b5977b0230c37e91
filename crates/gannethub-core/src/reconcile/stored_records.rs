//! Application of records from the state service to the state: live jobs, their finished tasks, machines of shards.
//!
//! Records arrive while a new leader loads the state, from its watch, and from keys that are read again. They may
//! arrive late and more than once, so a record is applied only as far as its version is newer than the known one.

use std::sync::Arc;

use crate::model::{JobSpec, Micros, TaskSet};
use crate::policy::Setting;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::shard::ChunkRecord;
use crate::wire::store::{self, DonePartRecord, JobRecord, LiveRecord, TASKS_PER_PART};

/// Exclusive upper bound of the part numbers of a job's finished tasks. A key with a part number at or above the bound
/// is damaged.
const MAX_PARTS: u32 = 100;

impl Cluster {
    /// Applies the record of a live job at `version`.
    pub fn apply_live_record(&mut self, id: &str, record: LiveRecord, version: u64) {
        match record {
            LiveRecord::Job(record) => self.apply_job_record(id, record, version),
            LiveRecord::Waiting(record) => self.apply_waiting_job(id, record, version),
        }
    }

    /// Applies the record of a job that waits for no upstream job. The job may be new or cancelled, or its record may
    /// have been read again.
    pub fn apply_job_record(&mut self, id: &str, record: JobRecord, version: u64) {
        if record.shard != self.shard.id {
            return self.apply_foreign_job_record(id, &record, version);
        }
        self.other_shards.jobs.remove(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.persistence.version = job.persistence.version.max(version);
            job.persistence.version_unknown = false;
            job.persistence.durable_watermark = job
                .persistence
                .durable_watermark
                .max(record.effective_watermark());
            store::decode_done_part(&record.done, 0, &mut job.persistence.durable_done);
            if record.cancelled && !job.cancelled {
                self.cancel_job(id);
            }
            return;
        }
        if self.store_writes.has_tombstone(id, version) {
            return;
        }
        self.mark_upstream_released(&id.into());
        // The record may be older than a cancellation of which users have been told.
        let cancelled = record.cancelled || self.announced_changes.is_cancelled(id);
        self.add_job(id, record, version);
        if cancelled {
            self.cancel_job(id);
        }
    }

    /// Adds a job that is not known yet.
    fn add_job(&mut self, id: &str, record: JobRecord, version: u64) {
        // Tasks of a job from an earlier term may be on machines that this leader has not heard from yet.
        let possibly_launched = match self.takeover.unconfirmed.loading {
            true if self.watermarks.reliable => record.effective_watermark(),
            true => record.spec.tasks,
            false => 0,
        };
        let team = self.settings.team(&record.spec.team);
        let mut job = Job::from_record(id.into(), record, version, team, possibly_launched);
        if job.spec.spot && !self.may_use_spot(&job) {
            let spec = (*job.submitted_spec).clone();
            job.spec = Arc::new(JobSpec {
                spot: false,
                ..spec
            });
        }
        self.queue.add_arrival(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
        self.passes.needed = true;
    }

    /// Whether the operators' policy lets a job use spot instances.
    fn may_use_spot(&self, job: &Job) -> bool {
        let within_guarantee = self.fits_guarantee(job);
        let latest_start = self.latest_start(job, within_guarantee);
        let inputs = self.policy_inputs(job, within_guarantee, latest_start);
        self.settings.policy.truth(Setting::UseSpot, &inputs)
    }

    /// Applies the record of a job whose tasks run in another shard. The owner of shard 0 keeps track of such a job, as
    /// other jobs may wait for it.
    fn apply_foreign_job_record(&mut self, id: &str, record: &JobRecord, version: u64) {
        if self.jobs.remove(id).is_some() {
            tracing::info!(
                job = id,
                shard = record.shard,
                "job transferred to another shard"
            );
        }
        if self.shard.id != 0 || self.store_writes.has_tombstone(id, version) {
            return;
        }
        let known_version = self.other_shards.jobs.insert(id.into(), version);
        if known_version.is_none() {
            self.mark_upstream_released(&id.into());
        }
        if record.cancelled {
            self.mark_upstream_cancelled(id);
        }
    }

    /// Applies one part of the finished tasks of a large job array.
    pub fn apply_done_part(&mut self, key: &str, record: &DonePartRecord) {
        let Some((id, part)) = store::parse_done_part_key(key) else {
            return;
        };
        match self.jobs.get_mut(id) {
            Some(job) if part < MAX_PARTS => add_durable_part(job, record, part),
            // A part without a live job is left over from a job that is finished.
            _ if self.shard.id == 0 && !self.other_shards.jobs.contains_key(id) => {
                self.store_writes.stale_keys.push(key.to_string());
            }
            _ => {}
        }
    }

    /// Applies a chunk of a shard's machine records. The machines may run tasks of an earlier term.
    pub fn apply_shard_chunk(&mut self, key: &str, record: ChunkRecord, version: u64) {
        let Some(index) = self.shard.parse_chunk_key(key) else {
            if let Some(shard) = store::parse_chunk_shard(key) {
                let machines = record.machines.into_keys().map(|name| (name, shard));
                self.other_shards.machines.extend(machines);
            }
            return;
        };
        let took_over_at = self.takeover.started_at;
        for (name, member) in &record.machines {
            let (machine_type, zone) = (&member.machine_type, &member.zone);
            let machine =
                self.get_or_adopt_machine(name, machine_type, zone, member.spot, took_over_at);
            machine.lifecycle.recorded = true;
            machine.worker.last_response_at = took_over_at;
            machine.lifecycle.has_booted = true;
        }
        self.shard.load_chunk(index, record, version);
    }

    /// Applies the deletion of a job's live key: the job is finished, whichever controller wrote its end. `cancelled`
    /// is the value in the job's finished record if this controller has read or written that record. Otherwise the
    /// finished record is read if another job waits for this one.
    pub fn apply_job_end(&mut self, id: &str, version: u64, cancelled: Option<bool>) {
        let known = self.record_version(id);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        self.store_writes.add_tombstone(id.into(), version);
        self.announced_changes.remove(id);
        self.other_shards.jobs.remove(id);
        if self.remove_waiting_job(id) {
            return;
        }
        self.mark_upstream_ended(id, cancelled);
        if let Some(job) = self.jobs.remove(id) {
            let first_part = u32::from(!job.persistence.overflow);
            let parts = first_part..job.spec.tasks.div_ceil(TASKS_PER_PART);
            let keys = parts.map(|part| store::done_part_key(id, part));
            self.store_writes.stale_keys.extend(keys);
        }
    }

    /// Finishes loading after all records have been read. Worker leases of recorded machines are counted from `now`.
    pub fn finish_loading(&mut self, now: Micros) {
        self.takeover.started_at = now;
        self.takeover.unconfirmed.loading = false;
        self.shard.finish_loading();
        for machine in self.machines.values_mut() {
            machine.worker.last_response_at = now;
        }
        // A heartbeat may arrive before the next tick, and limits have to count unconfirmed tasks from now on.
        self.update_unconfirmed(now);
    }
}

/// Adds finished tasks that the state service holds under a part key of their own.
fn add_durable_part(job: &mut Job, record: &DonePartRecord, part: u32) {
    job.persistence.overflow |= part == 0;
    let mut done = TaskSet::default();
    store::decode_done_part(&record.done, part, &mut done);
    for index in done.iter().filter(|index| *index < job.spec.tasks) {
        job.tasks.done.insert(index);
        job.persistence.durable_done.insert(index);
        job.tasks.pending.remove(index);
        job.tasks.unconfirmed.remove(index);
    }
}
