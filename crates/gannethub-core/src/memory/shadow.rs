//! A sibling's copy of what a leader has not charged yet, or not in writing.
//!
//! A worker remembers an attempt until it is told to forget it, and that is enough while machines live. What was
//! on a machine that is lost together with the leader is known to nobody else; so the leader tells its siblings
//! what is open, and one of them goes on with it. Messages may be lost: a copy with a gap asks for all of it,
//! and says of itself that it is not complete.

use std::collections::BTreeMap;

use crate::model::{Micros, SECOND};
use crate::wire::peer::{OpenTab, OpenTabs, TabKey};

/// A copy that has a gap asks again after this time.
const ASK_AGAIN: Micros = 2 * SECOND;

/// A tab as a leader told of it.
#[derive(Debug, Clone)]
pub struct Told {
    pub tab: OpenTab,
    /// When that came, and how long it had been on its way.
    pub at: Micros,
    pub late: Micros,
    /// When the leader was last heard, and had nothing else to tell of it.
    pub until: Micros,
}

/// What is known of a leader's open tabs.
#[derive(Debug, Default)]
pub struct Shadow {
    pub term: u64,
    next: u64,
    complete: bool,
    filling: bool,
    asked_at: Option<Micros>,
    heard_at: Micros,
    tabs: BTreeMap<TabKey, Told>,
}

impl Shadow {
    /// What a leader that steps down knows itself.
    pub fn own(term: u64, tabs: Vec<OpenTab>, now: Micros) -> Shadow {
        let mut shadow = Shadow::default();
        let (seq, closed) = (0, Vec::new());
        let (first, last, at) = (true, true, 0);
        let all = OpenTabs {
            term,
            seq,
            first,
            last,
            open: tabs,
            closed,
            at,
        };
        shadow.take(all, now, 0);
        shadow
    }

    /// Takes in a leader's message that has been on its way so long. True: all of it should be asked for.
    pub fn take(&mut self, message: OpenTabs, now: Micros, late: Micros) -> bool {
        if message.term < self.term {
            return false;
        }
        if message.term > self.term {
            *self = Shadow {
                term: message.term,
                ..Shadow::default()
            };
        }
        if message.first {
            self.tabs.clear();
            (self.filling, self.next) = (true, message.seq);
        }
        let follows = message.seq == self.next;
        self.next = message.seq + 1;
        if !follows {
            (self.complete, self.filling) = (false, false);
        }
        // What has come is of use even where something is missing.
        for key in message.closed {
            self.tabs.remove(&key);
        }
        for tab in message.open {
            if let Some(key) = tab.key.clone() {
                self.tabs.insert(
                    key,
                    Told {
                        tab,
                        at: now,
                        late,
                        until: now,
                    },
                );
            }
        }
        if message.last && self.filling {
            (self.complete, self.filling) = (true, false);
        }
        let ask = !self.complete && !self.filling;
        let due = self.asked_at.is_none_or(|t| now >= t + ASK_AGAIN);
        if ask && due {
            self.asked_at = Some(now);
        }
        ask && due
    }

    /// The leader of `term` is alive.
    pub fn heard(&mut self, term: u64, now: Micros) {
        if term == self.term {
            self.heard_at = now;
        }
    }

    /// What the leader of `term` left open, and whether that is all. Of what it had no news of, nothing had
    /// changed while it was heard.
    pub fn inherit(&mut self, term: u64) -> (Vec<Told>, bool) {
        let complete = self.complete && self.term == term;
        let Shadow { tabs, heard_at, .. } = std::mem::take(self);
        let until = |told: Told| Told {
            until: told.until.max(heard_at),
            ..told
        };
        (tabs.into_values().map(until).collect(), complete)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tab(task: u32) -> OpenTab {
        let key = TabKey {
            machine: "m".into(),
            job: "j-1".into(),
            task,
            attempt: 1,
        };
        OpenTab {
            key: Some(key),
            ..OpenTab::default()
        }
    }

    fn message(seq: u64, first: bool, last: bool, open: &[u32], closed: &[u32]) -> OpenTabs {
        let open = open.iter().map(|t| tab(*t)).collect();
        let closed = closed.iter().filter_map(|t| tab(*t).key).collect();
        OpenTabs {
            term: 3,
            seq,
            first,
            last,
            open,
            closed,
            at: 0,
        }
    }

    fn left(s: &mut Shadow) -> (Vec<u32>, bool) {
        let (tabs, complete) = s.inherit(3);
        (
            tabs.into_iter()
                .filter_map(|t| Some(t.tab.key?.task))
                .collect(),
            complete,
        )
    }

    #[test]
    fn a_copy_is_complete_from_a_whole_list_on_until_something_is_missing() {
        let mut s = Shadow::default();
        assert!(
            s.take(message(7, false, false, &[9], &[]), 0, 0),
            "it missed the start and asks"
        );
        assert!(!s.take(message(8, true, false, &[1, 2], &[]), SECOND, 0));
        assert!(!s.take(message(9, false, true, &[3], &[]), SECOND, 0));
        assert!(!s.take(message(10, false, false, &[4], &[1]), SECOND, 0));
        let old = OpenTabs {
            term: 2,
            ..message(11, true, true, &[], &[])
        };
        assert!(
            !s.take(old, SECOND, 0),
            "a deposed leader is not listened to"
        );
        assert_eq!(left(&mut s), (vec![2, 3, 4], true));
        let mut s = Shadow::default();
        s.take(message(0, true, true, &[1, 2], &[]), 0, 0);
        assert!(
            s.take(message(2, false, false, &[3], &[2]), SECOND, 0),
            "one was lost"
        );
        assert!(
            !s.take(message(3, false, false, &[], &[]), SECOND, 0),
            "it does not ask all the time"
        );
        assert!(s.take(message(4, false, false, &[], &[]), 4 * SECOND, 0));
        assert_eq!(left(&mut s), (vec![1, 3], false));
        s.take(message(5, true, true, &[1], &[]), 0, 0);
        assert!(!s.inherit(4).1, "another leader came between");
    }
}
