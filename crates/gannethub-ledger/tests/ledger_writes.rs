//! Ledger writes under lost replies, leader takeovers and postponed transactions: every attempt must be charged exactly
//! once.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use gannethub_ledger::audit::{FaultKind, Page, verify};
use gannethub_ledger::book::{Book, ChargedAttempt, Head, OpenedBook, PageWrite};
use gannethub_ledger::line::{
    AttemptCharge, ChargeGroup, LeaderChange, Line, LineBody, Reason, ResourceAmounts, Usefulness,
};
use gannethub_ledger::meter::StageTimes;
use gannethub_ledger::{Accounts, KeyRing, Micros, SECOND, Settings};
use proptest::prelude::*;

const DUPLICATE_WINDOW: Micros = 300 * SECOND;

#[derive(Clone, Debug)]
enum Step {
    /// This number of attempts end on their machines.
    EndAttempts(u32),
    /// The leader receives heartbeats from all machines and tells them which attempts they may forget.
    Heartbeats,
    /// The leader writes, with the given outcome.
    Write(WriteOutcome),
    Reread,
    /// The oldest postponed transaction reaches the state service.
    DeliverPostponed,
    Takeover,
    /// No attempt ends for twice the duplicate window, so that workers forget the charged attempts.
    Idle,
}

#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    /// The transaction is carried out and answered.
    Done,
    /// The transaction is carried out, but the reply is lost.
    LostReply,
    /// The transaction is lost before it is carried out.
    LostRequest,
    /// The transaction gets no reply and is carried out later.
    Postponed,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        4 => Just(WriteOutcome::Done), 1 => Just(WriteOutcome::LostReply), 1 => Just(WriteOutcome::LostRequest),
        1 => Just(WriteOutcome::Postponed),
    ];
    let step = prop_oneof![
        3 => (1u32..6).prop_map(Step::EndAttempts),
        4 => Just(Step::Heartbeats),
        5 => outcome.prop_map(Step::Write),
        3 => Just(Step::Reread),
        2 => Just(Step::DeliverPostponed),
        2 => Just(Step::Takeover),
        1 => Just(Step::Idle),
    ];
    prop::collection::vec(step, 1..160)
}

/// State service that checks the guards of each transaction.
#[derive(Default)]
struct Store {
    pages: BTreeMap<u64, (String, u64)>,
    head: Option<Head>,
    revision: u64,
    leader_term: u64,
    /// Whether the service ignores guards and carries out transactions of deposed leaders (a deliberate fault).
    ignores_guards: bool,
}

impl Store {
    fn commit(&mut self, write: &PageWrite, term: u64) -> Option<u64> {
        let version = self.pages.get(&write.page).map_or(0, |p| p.1);
        if !self.ignores_guards && (term != self.leader_term || version != write.version) {
            return None;
        }
        self.revision += 1;
        self.pages
            .insert(write.page, (write.value.clone(), self.revision));
        if let Some(head) = &write.head {
            self.head = Some(head.clone());
        }
        write.deleted_pages.iter().for_each(|n| {
            self.pages.remove(n);
        });
        Some(self.revision)
    }

    fn page(&self, n: u64) -> Option<(Page, u64)> {
        let (text, version) = self.pages.get(&n)?;
        Some((
            serde_json::from_str(text).expect("stored pages are valid"),
            *version,
        ))
    }
}

/// One leader at a time, the state service, and the attempts that workers still report.
struct Harness {
    settings: Arc<Settings>,
    keys: Arc<KeyRing>,
    max_value_bytes: usize,
    store: Store,
    term: u64,
    book: Book,
    /// Attempts that the stored pages charged when the book was opened.
    charged_before: HashSet<ChargedAttempt>,
    /// Tickets of the attempts that this book charged.
    tickets: HashMap<ChargedAttempt, u64>,
    /// Ended attempts that workers still report.
    reported: BTreeMap<ChargedAttempt, (ChargeGroup, AttemptCharge)>,
    /// Postponed transactions with the terms of their leaders.
    postponed: Vec<(PageWrite, u64)>,
    ended: u32,
    now: Micros,
}

fn settings() -> Settings {
    let teams = [("red".to_string(), 1.0), ("blue".to_string(), 1.0)];
    let text = "keys = \"k\"\nhalf_life_s = 600.0\nretention_s = 400.0\nbalance_pages = 2\n";
    Settings::parse(text, "f", &teams).expect("the settings are valid")
}

fn key_ring(ids: &[&str]) -> KeyRing {
    let text: String = ids
        .iter()
        .map(|id| KeyRing::write(id, &[id.len() as u8; 32]))
        .collect();
    KeyRing::parse(&text).expect("the keys are valid")
}

impl Harness {
    fn new(max_value_bytes: usize) -> Harness {
        let (settings, keys) = (Arc::new(settings()), Arc::new(key_ring(&["k"])));
        let book = Book::open(
            settings.clone(),
            keys.clone(),
            max_value_bytes,
            DUPLICATE_WINDOW,
            None,
            &[],
        )
        .book;
        Harness {
            settings,
            keys,
            max_value_bytes,
            store: Store::default(),
            term: 0,
            book,
            charged_before: HashSet::new(),
            tickets: HashMap::new(),
            reported: BTreeMap::new(),
            postponed: Vec::new(),
            ended: 0,
            now: 1_700_000_000 * SECOND,
        }
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.store.leader_term = self.term;
        let head = self.store.head.clone();
        let from = head.as_ref().map_or(u64::MAX, |h| h.from);
        let numbers = self.store.pages.range(from..).map(|p| *p.0);
        let pages: Vec<(Page, u64)> = numbers.filter_map(|n| self.store.page(n)).collect();
        self.tickets.clear();
        let (settings, keys) = (self.settings.clone(), self.keys.clone());
        let opened = Book::open(
            settings,
            keys,
            self.max_value_bytes,
            DUPLICATE_WINDOW,
            head,
            &pages,
        );
        assert!(opened.damaged.is_empty(), "{:?}", opened.damaged);
        (self.book, self.charged_before) = (opened.book, opened.charged_attempts);
        let leader_change = LeaderChange {
            term: self.term,
            owner: "n".into(),
            at: self.now,
            has_all_open_usage: true,
        };
        self.book
            .queue_line(LineBody::LeaderChanged(leader_change), self.now);
    }

    fn end_attempt(&mut self) {
        let n = self.ended;
        self.ended += 1;
        let group = ChargeGroup {
            team: ["red", "blue"][n as usize % 2].into(),
            class: "c".into(),
            job: format!("j-{}", n % 3),
            resources: ResourceAmounts(1000 + u64::from(n % 4) * 500, 0, 2000),
            machine_type: "f".into(),
            zone: "z".into(),
            spot: false,
            price: 7,
            reason: Reason::Done,
            usefulness: Usefulness::Useful,
        };
        let times = StageTimes([1, 2, 3, u64::from(n) * 1000, 5, 6]);
        let entry = AttemptCharge {
            task: n,
            attempt: 9,
            machine: format!("host-{}", n % 7),
            begin: self.now - times.total(),
            stage_times: times,
            max_error: 0,
            is_estimate: false,
        };
        let key = (group.job.clone(), n, 9, entry.machine.clone());
        self.reported.insert(key, (group, entry));
    }

    fn handle_heartbeats(&mut self) {
        for (key, (group, entry)) in &self.reported {
            if !self.charged_before.contains(key) && !self.tickets.contains_key(key) {
                let ticket = self.book.charge(group.clone(), entry.clone(), self.now);
                self.tickets.insert(key.clone(), ticket);
            }
        }
        let (charged_before, tickets, book) = (&self.charged_before, &self.tickets, &self.book);
        self.reported.retain(|key, _| {
            !charged_before.contains(key) && !tickets.get(key).is_some_and(|t| book.is_written(*t))
        });
    }

    fn write(&mut self, outcome: WriteOutcome) {
        let Some(write) = self.book.next_write(self.now, self.now, 6) else {
            return;
        };
        match outcome {
            WriteOutcome::Done => match self.store.commit(&write, self.term) {
                Some(version) => {
                    self.book.write_succeeded(version);
                }
                None => self.book.write_failed(true),
            },
            WriteOutcome::LostReply => {
                self.store.commit(&write, self.term);
                self.book.write_failed(true);
            }
            WriteOutcome::LostRequest => self.book.write_failed(true),
            WriteOutcome::Postponed => {
                self.postponed.push((write, self.term));
                self.book.write_failed(true);
            }
        }
    }

    fn reread(&mut self) {
        if let Some(n) = self.book.page_to_reread() {
            let found = self.store.page(n);
            let result = self
                .book
                .page_reread(found.as_ref().map(|(page, version)| (page, *version)));
            assert!(result.is_ok(), "{result:?}");
        }
    }

    fn step(&mut self, step: &Step) {
        self.now += SECOND;
        match step {
            Step::EndAttempts(n) => (0..*n).for_each(|_| self.end_attempt()),
            Step::Heartbeats => self.handle_heartbeats(),
            Step::Write(outcome) => {
                self.now += 3 * SECOND;
                self.write(*outcome);
            }
            Step::Reread => self.reread(),
            Step::DeliverPostponed if !self.postponed.is_empty() => {
                let (write, term) = self.postponed.remove(0);
                self.store.commit(&write, term);
            }
            Step::DeliverPostponed => {}
            Step::Takeover => self.take_over(),
            Step::Idle => {
                self.handle_heartbeats();
                let tickets = &self.tickets;
                self.reported.retain(|key, _| tickets.contains_key(key));
                if self.reported.is_empty() {
                    self.now += 2 * DUPLICATE_WINDOW;
                }
            }
        }
    }

    /// Takes over, writes all open charges, and returns the pages.
    fn finish(&mut self) -> Vec<Page> {
        self.take_over();
        for _ in 0..400 {
            self.handle_heartbeats();
            self.now += 3 * SECOND;
            self.write(WriteOutcome::Done);
            self.reread();
            if self.reported.is_empty() && self.book.unwritten_charges() == 0 {
                break;
            }
        }
        assert!(
            self.reported.is_empty(),
            "still not written: {:?}",
            self.reported.keys()
        );
        self.pages()
    }

    fn pages(&self) -> Vec<Page> {
        self.store
            .pages
            .keys()
            .filter_map(|n| self.store.page(*n))
            .map(|p| p.0)
            .collect()
    }

    /// Returns the time held by all ended attempts, by team and class, computed without a ledger.
    fn expected_held_times(&self) -> Vec<(String, String, u64)> {
        let mut replay = Harness::new(1 << 20);
        let now = self.now;
        replay.now = now;
        (0..self.ended).for_each(|_| replay.end_attempt());
        let mut sums: BTreeMap<(String, String), u64> = BTreeMap::new();
        for (group, entry) in replay.reported.values() {
            *sums
                .entry((group.team.clone(), group.class.clone()))
                .or_default() += entry.stage_times.total();
        }
        sums.into_iter()
            .map(|((team, class), sum)| (team, class, sum))
            .collect()
    }
}

/// Returns the time held according to the accounts, by team and class.
fn held_times(accounts: &Accounts) -> Vec<(String, String, u64)> {
    accounts
        .iter()
        .map(|((team, class), account)| (team.clone(), class.clone(), account.times()[0] as u64))
        .collect()
}

/// Runs the steps. Returns an error if an attempt is not charged exactly once.
fn run_steps(steps: &[Step], max_value_bytes: usize, ignores_guards: bool) -> Result<(), String> {
    let mut harness = Harness::new(max_value_bytes);
    harness.store.ignores_guards = ignores_guards;
    harness.take_over();
    steps.iter().for_each(|s| harness.step(s));
    let pages = harness.finish();
    let verified =
        verify(&pages, &harness.keys, &harness.settings, None).map_err(|f| f.to_string())?;
    let (charged, used) = (
        held_times(&verified.accounts),
        harness.expected_held_times(),
    );
    if charged != used {
        return Err(format!("{charged:?} is charged, {used:?} was used"));
    }
    // The leader's own accounts, restored from balances and pages, must hold the same times.
    if held_times(harness.book.accounts()) != used {
        return Err(format!(
            "the leader's accounts hold {:?}",
            held_times(harness.book.accounts())
        ));
    }
    let mut seen = HashSet::new();
    let lines = pages
        .iter()
        .flat_map(|p| p.read().expect("verified pages are readable"));
    for (line, _) in lines {
        if let LineBody::Charge(c) = line.body {
            for e in c.entries {
                if !seen.insert((c.group.job.clone(), e.task)) {
                    return Err(format!("{}/{} is charged twice", c.group.job, e.task));
                }
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    #[test]
    fn every_attempt_is_charged_exactly_once(steps in steps(), max_value_bytes in 1500usize..6000) {
        prop_assert_eq!(run_steps(&steps, max_value_bytes, false), Ok(()));
    }
}

#[test]
fn store_without_guards_is_detected() {
    use WriteOutcome::{Done, Postponed};
    let up_to_takeover = [
        Step::EndAttempts(3),
        Step::Heartbeats,
        Step::Write(Postponed),
        Step::Takeover,
        Step::Heartbeats,
    ];
    let after_takeover = [
        Step::Write(Done),
        Step::EndAttempts(1),
        Step::Heartbeats,
        Step::Write(Done),
        Step::Heartbeats,
    ];
    let steps: Vec<Step> = up_to_takeover
        .into_iter()
        .chain(after_takeover)
        .chain([Step::DeliverPostponed])
        .collect();
    assert_eq!(run_steps(&steps, 4000, false), Ok(()));
    // Shows that the check can fail: without guards, the deposed leader's page replaces the new leader's page.
    let caught = std::panic::catch_unwind(|| run_steps(&steps, 4000, true));
    assert!(!matches!(caught, Ok(Ok(()))), "{caught:?}");
}

/// Returns a harness and its pages after `rounds` rounds, each of two ended attempts and one successful write.
fn written_ledger(rounds: u32, max_value_bytes: usize) -> (Harness, Vec<Page>) {
    let mut harness = Harness::new(max_value_bytes);
    harness.take_over();
    for _ in 0..rounds {
        harness.step(&Step::EndAttempts(2));
        harness.step(&Step::Heartbeats);
        harness.step(&Step::Write(WriteOutcome::Done));
    }
    let pages = harness.finish();
    (harness, pages)
}

#[test]
fn verification_names_the_kind_of_tampering() {
    let (harness, pages) = written_ledger(12, 1500);
    assert!(pages.len() > 2, "{} pages", pages.len());
    let check = |pages: &[Page]| verify(pages, &harness.keys, &harness.settings, None);
    let intact = check(&pages).unwrap();
    assert_eq!(intact.charged_attempts, 24);
    let position = pages[1]
        .lines
        .iter()
        .position(|l| l[1] == "charge")
        .unwrap();
    let fault_after = |change: &dyn Fn(&mut Vec<Page>)| {
        let mut pages = pages.clone();
        change(&mut pages);
        let fault = check(&pages).unwrap_err();
        (fault.page, fault.position, fault.kind)
    };
    let altered = fault_after(&|p| p[1].lines[position][2][0] = "green".into());
    assert_eq!(altered, (pages[1].page, position, FaultKind::Altered));
    let removed = fault_after(&|p| drop(p[1].lines.remove(position)));
    assert_eq!((removed.0, removed.1), (pages[1].page, position));
    assert!(matches!(removed.2, FaultKind::Missing | FaultKind::Altered));
    let duplicated = fault_after(&|p| {
        let line = p[1].lines[0].clone();
        p[1].lines.insert(1, line);
    });
    assert_eq!(duplicated, (pages[1].page, 1, FaultKind::Duplicated));
    let reordered = fault_after(&|p| p[0].lines.swap(0, 1));
    assert_eq!(reordered, (pages[0].page, 0, FaultKind::Reordered));
    assert_eq!(fault_after(&|p| drop(p.remove(1))).2, FaultKind::Missing);
    assert_eq!(
        fault_after(&|p| drop(p.remove(0))).2,
        FaultKind::Missing,
        "the first page was not folded"
    );
    assert_eq!(
        fault_after(&|p| p[1].key = "other".into()).2,
        FaultKind::UnknownKey
    );
    // Lines removed at the end are detected only with the head of an earlier verification.
    let mut truncated = pages.clone();
    truncated.last_mut().unwrap().lines.pop();
    assert!(check(&truncated).is_ok());
    let head = Some((intact.next_line - 1, intact.last_mac));
    assert!(verify(&pages, &harness.keys, &harness.settings, head).is_ok());
    let fault = verify(&truncated, &harness.keys, &harness.settings, head).unwrap_err();
    assert_eq!(fault.kind, FaultKind::Missing);
    // A key file with an additional key verifies the pages; a key file with another secret does not.
    let other = key_ring(&["kk", "k"]);
    assert!(
        verify(&pages, &other, &harness.settings, None).is_ok(),
        "the key file contains the secret of the pages"
    );
    let text = KeyRing::write("k", &[9; 32]);
    let forged = KeyRing::parse(&text).unwrap();
    assert_eq!(
        verify(&pages, &forged, &harness.settings, None)
            .unwrap_err()
            .kind,
        FaultKind::Altered
    );
}

#[test]
fn folding_and_key_rotation_preserve_sums_and_chain() {
    let mut harness = Harness::new(1500);
    harness.take_over();
    let mut all_pages: BTreeMap<u64, Page> = BTreeMap::new();
    for round in 0..160 {
        if round == 80 {
            harness.keys = Arc::new(key_ring(&["k", "k2"]));
            harness.take_over();
        }
        harness.step(&Step::EndAttempts(4));
        for _ in 0..6 {
            harness.step(&Step::Heartbeats);
            harness.step(&Step::Write(WriteOutcome::Done));
        }
        all_pages.extend(harness.pages().into_iter().map(|p| (p.page, p)));
        harness.step(&Step::Idle);
    }
    let remaining = harness.finish();
    all_pages.extend(remaining.iter().map(|p| (p.page, p.clone())));
    assert!(
        remaining.len() < all_pages.len() / 2,
        "{} of {} pages remain",
        remaining.len(),
        all_pages.len()
    );
    let all_pages: Vec<Page> = all_pages.into_values().collect();
    let all = verify(&all_pages, &harness.keys, &harness.settings, None).unwrap();
    let folded = verify(&remaining, &harness.keys, &harness.settings, None).unwrap();
    assert!(all.first_line == 0 && folded.first_line > 0 && folded.covers_all_lines);
    assert_eq!(
        (all.next_line, all.last_mac),
        (folded.next_line, folded.last_mac)
    );
    assert_eq!(held_times(&all.accounts), held_times(&folded.accounts));
    assert_eq!(held_times(&folded.accounts), harness.expected_held_times());
    let keys: HashSet<&str> = all_pages.iter().map(|p| &*p.key).collect();
    assert_eq!(keys.len(), 2);
    assert!(verify(&all_pages, &key_ring(&["k"]), &harness.settings, None).is_err());
}

#[test]
fn damaged_page_is_kept_and_a_new_page_begun() {
    let (mut harness, pages) = written_ledger(6, 3000);
    let newest = pages.last().unwrap().page;
    let broken = "{\"page\":0}".to_string();
    harness
        .store
        .pages
        .insert(newest, (broken.clone(), 999_999));
    let (head, keys) = (harness.store.head.clone(), harness.keys.clone());
    let from = head.as_ref().unwrap().from;
    let found: Vec<(Page, u64)> = (from..newest)
        .filter_map(|n| harness.store.page(n))
        .collect();
    let OpenedBook {
        mut book, damaged, ..
    } = Book::open(
        harness.settings.clone(),
        keys,
        3000,
        DUPLICATE_WINDOW,
        head,
        &found,
    );
    assert_eq!(damaged.iter().map(|d| d.0).collect::<Vec<_>>(), [newest]);
    let leader_change = LeaderChange {
        term: 9,
        owner: "n".into(),
        at: harness.now,
        has_all_open_usage: true,
    };
    book.queue_line(LineBody::LeaderChanged(leader_change), harness.now);
    let write = book
        .next_write(harness.now + 9 * SECOND, harness.now, 2)
        .expect("the book must still write");
    assert_eq!((write.page, write.version), (newest + 1, 0));
    let page: Page = serde_json::from_str(&write.value).unwrap();
    assert!(
        page.read()
            .unwrap()
            .iter()
            .any(|(line, _): &(Line, _)| matches!(line.body, LineBody::LeaderChanged(_)))
    );
}
