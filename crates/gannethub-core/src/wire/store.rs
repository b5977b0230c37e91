//! Wire format of the state service: keys, the records stored under them, requests and responses.
//!
//! JSON field names are those of the service's protocol and of stored records, which outlive releases. Where a Rust
//! name differs, a `serde` attribute on the field gives the JSON name.

mod answers;
mod encoding;
mod keys;
mod records;
mod requests;

pub use self::answers::{
    Change, ChangeLog, Committed, Conflict, LeaseGranted, Listing, StoredValue,
};
pub use self::encoding::{
    MAX_UPSTREAM_JOBS, TASKS_PER_PART, decode_done_part, decode_job_ids, encode_done_part,
    encode_job_ids,
};
pub use self::keys::{
    AssignmentKeys, DONE_PART_PREFIX, FINISHED_JOB_PREFIX, LEADER_KEY, LEADER_PREFIX,
    LEADER_TERM_KEY, LEDGER_HEAD_KEY, LEDGER_PAGE_PREFIX, LIVE_JOB_PREFIX, MACHINE_TRANSFER_PREFIX,
    QUOTA_PARTITION_PREFIX, SHARD_ASSIGNMENT_PREFIX, SHARD_PREFIX, TERM_COUNTER_KEY,
    assignment_keys, done_part_key, finished_job_key, ledger_page_key, live_job_key,
    machine_transfer_key, parse_chunk_shard, parse_done_part_key,
};
pub use self::records::{
    DonePartRecord, FinishedJobRecord, JobAccount, JobRecord, LeaseRecord, LiveRecord,
    MachineTransferRecord, QuotaPartitionRecord, VALUE_SLACK_BYTES, WaitingJobSpec, WaitingRecord,
    to_raw_value,
};
pub use self::requests::{StoreRequest, Transaction};
