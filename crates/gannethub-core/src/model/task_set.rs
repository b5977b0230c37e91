//! Sets of task indexes, stored as ranges because the indexes mostly form long runs.

/// A set of task indexes, stored as sorted, disjoint, inclusive ranges. No two ranges are adjacent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<(u32, u32)>);

impl TaskSet {
    /// Creates the set of the indexes `0..count`.
    pub fn with_first(count: u32) -> TaskSet {
        match count {
            0 => TaskSet::default(),
            _ => TaskSet(vec![(0, count - 1)]),
        }
    }

    /// Returns the position of the first range that does not end before `task`.
    fn position(&self, task: u32) -> usize {
        self.0.partition_point(|&(_, last)| last < task)
    }

    /// Whether the range at this position contains `task`.
    fn range_contains(&self, position: usize, task: u32) -> bool {
        let range = self.0.get(position);
        range.is_some_and(|&(first, last)| (first..=last).contains(&task))
    }

    /// Whether `task` is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.range_contains(self.position(task), task)
    }

    /// Adds an index. Returns whether the index was new.
    pub fn insert(&mut self, task: u32) -> bool {
        let position = self.position(task);
        if self.range_contains(position, task) {
            return false;
        }
        let ranges = &mut self.0;
        let extends_previous = position > 0 && ranges[position - 1].1 + 1 == task;
        let extends_next = position < ranges.len() && ranges[position].0 == task + 1;
        match (extends_previous, extends_next) {
            (true, true) => {
                ranges[position - 1].1 = ranges[position].1;
                ranges.remove(position);
            }
            (true, false) => ranges[position - 1].1 = task,
            (false, true) => ranges[position].0 = task,
            (false, false) => ranges.insert(position, (task, task)),
        }
        true
    }

    /// Removes an index. Returns whether the index was in the set.
    pub fn remove(&mut self, task: u32) -> bool {
        let position = self.position(task);
        if !self.range_contains(position, task) {
            return false;
        }
        let ranges = &mut self.0;
        let (first, last) = ranges[position];
        match (first == task, last == task) {
            (true, true) => {
                ranges.remove(position);
            }
            (true, false) => ranges[position].0 = task + 1,
            (false, true) => ranges[position].1 = task - 1,
            (false, false) => {
                ranges[position].1 = task - 1;
                ranges.insert(position + 1, (task + 1, last));
            }
        }
        true
    }

    /// Returns the number of indexes in the set.
    pub fn len(&self) -> u32 {
        let lengths = self.0.iter().map(|&(first, last)| last - first + 1);
        lengths.sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(first, last)| first..=last)
    }

    /// Returns the part of the set within `start..end`.
    pub fn slice(&self, start: u32, end: u32) -> TaskSet {
        let overlapping = self
            .0
            .iter()
            .filter(|&&(first, last)| last >= start && first < end);
        let clipped = overlapping.map(|&(first, last)| (first.max(start), last.min(end - 1)));
        TaskSet(clipped.collect())
    }

    /// Returns the ranges in ascending order, with inclusive ends.
    pub fn as_ranges(&self) -> &[(u32, u32)] {
        &self.0
    }
}
