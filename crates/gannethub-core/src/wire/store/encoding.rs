//! Compact text encodings of job ids and of finished tasks, needed because the size of stored values is limited.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Write};

use crate::model::{JobId, TaskSet};

/// Maximum number of upstream jobs of a job. A request body of 64 KiB holds no more.
pub const MAX_UPSTREAM_JOBS: usize = 16_000;

/// Number of tasks whose completions share one value. A bitmap of this many tasks always fits into 2 KiB.
pub const TASKS_PER_PART: u32 = 4096;

/// Maximum length of finished tasks written as ranges, in bytes. The hexadecimal digits of a bitmap take as many bytes.
const MAX_RANGES_BYTES: usize = TASKS_PER_PART as usize / 4;
const BITMAP_BYTES: usize = TASKS_PER_PART as usize / 8;
/// First character of an encoded bitmap. Ranges begin with a digit.
const BITMAP_MARKER: char = 'x';

/// Writes `first-last`, or one number if both are equal. Writing to a `String` cannot fail.
fn write_range<N: Display + PartialEq>(out: &mut String, first: N, last: N) {
    let _ = if first == last {
        write!(out, "{first}")
    } else {
        write!(out, "{first}-{last}")
    };
}

/// Parses a range written by [`write_range`].
fn parse_range<N: std::str::FromStr>(text: &str) -> Option<(N, N)> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Some((first.parse().ok()?, last.parse().ok()?))
}

/// Encodes job ids compactly as sorted numbers and ranges, grouped by the number of digits.
///
/// For example, `j-7`, `j-000398` and `j-000399` become `1:7;6:398-399`.
pub fn encode_job_ids(ids: &[JobId]) -> String {
    let mut by_digits: BTreeMap<usize, BTreeSet<u64>> = BTreeMap::new();
    for digits in ids.iter().filter_map(|id| id.strip_prefix("j-")) {
        if let Ok(number) = digits.parse() {
            by_digits.entry(digits.len()).or_default().insert(number);
        }
    }
    let mut out = String::new();
    for (digits, numbers) in by_digits {
        if !out.is_empty() {
            out.push(';');
        }
        let _ = write!(out, "{digits}:");
        let mut numbers = numbers.into_iter().peekable();
        while let Some(first) = numbers.next() {
            let mut last = first;
            while let Some(next) = numbers.next_if(|number| *number == last + 1) {
                last = next;
            }
            write_range(&mut out, first, last);
            if numbers.peek().is_some() {
                out.push(',');
            }
        }
    }
    out
}

/// Decodes job ids encoded by [`encode_job_ids`]. Invalid groups and ranges are skipped, and a range yields at most
/// about [`MAX_UPSTREAM_JOBS`] ids.
pub fn decode_job_ids(text: &str) -> Vec<JobId> {
    let mut ids = Vec::new();
    for (digits, numbers) in text.split(';').filter_map(|group| group.split_once(':')) {
        let Ok(digits) = digits.parse::<usize>() else {
            continue;
        };
        for (first, last) in numbers.split(',').filter_map(parse_range::<u64>) {
            let last = last.min(first.saturating_add(MAX_UPSTREAM_JOBS as u64));
            ids.extend((first..=last).map(|number| JobId::from(format!("j-{number:0digits$}"))));
        }
    }
    ids
}

/// Encodes the finished tasks of one part of an array as ranges, or as a bitmap if ranges take too many bytes.
pub fn encode_done_part(done: &TaskSet, part: u32) -> String {
    let first_task = part * TASKS_PER_PART;
    let tasks = done.slice(first_task, first_task + TASKS_PER_PART);
    let mut out = String::new();
    for &(first, last) in tasks.as_ranges() {
        if !out.is_empty() {
            out.push(',');
        }
        write_range(&mut out, first, last);
        if out.len() > MAX_RANGES_BYTES {
            return encode_bitmap(&tasks, first_task);
        }
    }
    out
}

fn encode_bitmap(tasks: &TaskSet, first_task: u32) -> String {
    let mut bitmap = [0u8; BITMAP_BYTES];
    for task in tasks.iter() {
        let bit = task - first_task;
        bitmap[bit as usize / 8] |= 1 << (bit % 8);
    }
    let mut out = String::from(BITMAP_MARKER);
    for byte in bitmap {
        let _ = write!(out, "{byte:02x}");
    }
    out
}

/// Adds the finished tasks encoded by [`encode_done_part`] to `done`. Tasks outside the part are ignored.
pub fn decode_done_part(text: &str, part: u32, done: &mut TaskSet) {
    let first_task = part * TASKS_PER_PART;
    if let Some(hex) = text.strip_prefix(BITMAP_MARKER) {
        return decode_bitmap(hex, first_task, done);
    }
    let last_task = first_task + TASKS_PER_PART - 1;
    for (first, last) in text.split(',').filter_map(parse_range::<u32>) {
        for task in first.max(first_task)..=last.min(last_task) {
            done.insert(task);
        }
    }
}

/// Adds the tasks of a bitmap to `done`. An invalid byte counts as zero.
fn decode_bitmap(hex: &str, first_task: u32, done: &mut TaskSet) {
    let pairs = hex.as_bytes().chunks(2).take(BITMAP_BYTES);
    for (first_bit, pair) in (first_task..).step_by(8).zip(pairs) {
        let digits = std::str::from_utf8(pair).ok();
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        let byte = byte.unwrap_or(0);
        for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
            done.insert(first_bit + bit);
        }
    }
}

#[cfg(test)]
mod tests;
