//! Pages as they are kept, and whether they are as they were written.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::account::Accounts;
use crate::chain::{KeyRing, Tie};
use crate::line::{Body, Line, Parts};
use crate::settings::Settings;

/// A page as the state service holds it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Page {
    /// Its number, from zero without gaps.
    pub page: u64,
    /// The number of its first line, and the tie of the line before that.
    pub first: u64,
    pub prev: String,
    /// The key that its lines are tied with.
    pub key: String,
    pub lines: Vec<Value>,
}

impl Page {
    /// Its lines and their ties; an error is the place of the first that is none.
    pub fn read(&self) -> Result<Vec<(Line, Tie)>, usize> {
        let read = |(i, v)| Line::read(v).ok_or(i);
        self.lines.iter().enumerate().map(read).collect()
    }
}

/// What is wrong with a ledger.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wrong {
    /// It is not a line, or not the one that was tied here.
    Altered,
    /// The line before it is missing.
    Dropped,
    /// It, or a line with its number, has come before.
    Doubled,
    /// A later line stands before it.
    Reordered,
    /// The page names a key that is not in the key file.
    UnknownKey,
    /// A balance does not say what the lines before it come to.
    Unbalanced,
}

/// The first line that is not as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub page: u64,
    /// The line's place in the page and the number that it should have.
    pub place: usize,
    pub seq: u64,
    pub wrong: Wrong,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.wrong {
            Wrong::Altered => "was altered",
            Wrong::Dropped => "is missing",
            Wrong::Doubled => "stands where another one should: a line appears twice",
            Wrong::Reordered => "is not in its place: lines were reordered",
            Wrong::UnknownKey => "cannot be checked: the key of its page is not in the key file",
            Wrong::Unbalanced => "is part of a balance that the lines before it do not come to",
        };
        write!(
            f,
            "page {}, line {}: line {} {what}",
            self.page, self.place, self.seq
        )
    }
}

impl std::error::Error for Fault {}

/// What a ledger that verifies comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Verified {
    pub pages: usize,
    pub lines: u64,
    pub charged: u64,
    /// The numbers of the first and of the next line, and the tie of the last one.
    pub first: u64,
    pub next: u64,
    pub head: Tie,
    pub accounts: Accounts,
    /// Lines from the first one on are in the accounts, and those before it by a balance, if one says so.
    pub whole: bool,
}

impl Verified {
    /// Nothing yet, before the line with this number and after the one with this tie.
    fn before(first: u64, head: Tie) -> Verified {
        Verified {
            pages: 0,
            lines: 0,
            charged: 0,
            first,
            next: first,
            head,
            accounts: Accounts::default(),
            whole: first == 0,
        }
    }
}

/// Checks pages in the order in which they are given. `head`: a line's number and tie as an earlier check gave
/// them; it has to be there still, or to have been folded since.
pub fn verify(
    pages: &[Page],
    keys: &KeyRing,
    settings: &Settings,
    head: Option<(u64, Tie)>,
) -> Result<Verified, Fault> {
    let fault = |page: u64, place, seq, wrong| {
        Err(Fault {
            page,
            place,
            seq,
            wrong,
        })
    };
    let mut seen: Option<Verified> = None;
    let mut expected_page = pages.first().map_or(0, |p| p.page);
    let mut fold = Fold::default();
    for page in pages {
        let first = seen.as_ref().map_or(page.first, |s| s.next);
        if page.page != expected_page {
            let wrong = match page.page > expected_page {
                true => Wrong::Dropped,
                false => Wrong::Doubled,
            };
            return fault(page.page, 0, first, wrong);
        }
        expected_page += 1;
        let Some(key) = keys.get(&page.key) else {
            return fault(page.page, 0, first, Wrong::UnknownKey);
        };
        let Some(prev) = Tie::parse(&page.prev) else {
            return fault(page.page, 0, first, Wrong::Altered);
        };
        let v = seen.get_or_insert_with(|| Verified::before(first, prev));
        if v.head != prev || page.first != v.next {
            return fault(page.page, 0, v.next, Wrong::Altered);
        }
        v.pages += 1;
        for (place, value) in page.lines.iter().enumerate() {
            let Some((line, tie)) = Line::read(value) else {
                return fault(page.page, place, v.next, Wrong::Altered);
            };
            if line.seq != v.next || v.head.next(key, &line.text()) != tie {
                let rest = page.lines[place..].iter().filter_map(Line::read);
                let later = rest.skip(1).any(|(l, _)| l.seq == v.next);
                let wrong = match line.seq.cmp(&v.next) {
                    std::cmp::Ordering::Equal => Wrong::Altered,
                    std::cmp::Ordering::Less => Wrong::Doubled,
                    std::cmp::Ordering::Greater if later => Wrong::Reordered,
                    std::cmp::Ordering::Greater => Wrong::Dropped,
                };
                return fault(page.page, place, v.next, wrong);
            }
            if head.is_some_and(|(seq, known)| seq == line.seq && known != tie) {
                return fault(page.page, place, line.seq, Wrong::Altered);
            }
            if !fold.take(&line, v, settings) {
                return fault(page.page, place, line.seq, Wrong::Unbalanced);
            }
            if let Body::Charge(c) = &line.body {
                v.charged += c.entries.len() as u64;
            }
            v.accounts.line(&line, settings);
            (v.head, v.next, v.lines) = (tie, line.seq + 1, v.lines + 1);
        }
    }
    let end = seen.unwrap_or_else(|| Verified::before(0, Tie::default()));
    // Lines that an earlier check has seen are missing at the end.
    match head {
        Some((seq, _)) if seq >= end.next => fault(expected_page, 0, end.next, Wrong::Dropped),
        _ if pages.first().is_some_and(|p| p.page > fold.kept) => fault(
            pages[0].page,
            0,
            end.first.saturating_sub(1),
            Wrong::Dropped,
        ),
        _ => Ok(end),
    }
}

/// Holds balances against the lines before them.
#[derive(Default)]
struct Fold {
    /// Pages before this one may be gone.
    kept: u64,
    parts: Parts,
}

impl Fold {
    /// Takes the next line; whether it balances.
    fn take(&mut self, line: &Line, v: &mut Verified, settings: &Settings) -> bool {
        if let Body::Balance(b) = &line.body {
            // It speaks of all lines before itself, so its parts can be held against them.
            self.kept = self.kept.max(b.kept);
            if b.upto != line.seq {
                return false;
            }
        }
        let Some(parts) = self.parts.take(&line.body) else {
            return true;
        };
        let said = Accounts::from_parts(&parts, settings);
        if v.whole {
            return sums(&said) == sums(&v.accounts);
        }
        // What came before the first line that is left is what the balance has more.
        v.accounts = said;
        v.whole = true;
        true
    }
}

/// An account's team and class, its entries, what they held and for how long.
type Sums<'a> = (&'a str, &'a str, u64, [u128; 3], [u128; 3]);

/// What is compared: decayed usage depends on half-lives, which the operator may change.
fn sums(accounts: &Accounts) -> Vec<Sums<'_>> {
    let sums = accounts
        .iter()
        .map(|((t, c), a)| (&**t, &**c, a.entries, a.held(), a.times()));
    sums.collect()
}
