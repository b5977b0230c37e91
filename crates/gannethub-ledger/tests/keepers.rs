//! Keepers that lose replies, are replaced, and whose writes come late: every attempt is charged once.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use gannethub_ledger::audit::{FaultKind, Page, verify};
use gannethub_ledger::book::{Book, ChargedAttempt, Head, OpenedBook, PageWrite};
use gannethub_ledger::line::{
    ChargeGroup, Entry, Line, LineBody, OwnerChange, Reason, ResourceAmounts, Usefulness,
};
use gannethub_ledger::meter::StageTimes;
use gannethub_ledger::{Accounts, KeyRing, Micros, SECOND, Settings};
use proptest::prelude::*;

const WINDOW: Micros = 300 * SECOND;

#[derive(Clone, Debug)]
enum Step {
    /// So many attempts end on their machines.
    End(u32),
    /// The leader hears of all that machines show, and says what they may forget.
    Report,
    /// It writes: carried out, no reply though it was, no reply and not, no reply and carried out later.
    Write(Fate),
    Reread,
    /// A transaction that was held back comes through.
    Late,
    Takeover,
    /// Nothing happens for long: workers forget what was charged.
    Idle,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    LostReply,
    LostRequest,
    Held,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        4 => Just(Fate::Done), 1 => Just(Fate::LostReply), 1 => Just(Fate::LostRequest),
        1 => Just(Fate::Held),
    ];
    let step = prop_oneof![
        3 => (1u32..6).prop_map(Step::End),
        4 => Just(Step::Report),
        5 => fate.prop_map(Step::Write),
        3 => Just(Step::Reread),
        2 => Just(Step::Late),
        2 => Just(Step::Takeover),
        1 => Just(Step::Idle),
    ];
    prop::collection::vec(step, 1..160)
}

/// The state service, and what it asks of a transaction.
#[derive(Default)]
struct Store {
    pages: BTreeMap<u64, (String, u64)>,
    head: Option<Head>,
    revision: u64,
    holder: u64,
    /// Broken on purpose: transactions of deposed leaders are carried out.
    unguarded: bool,
}

impl Store {
    fn commit(&mut self, w: &PageWrite, holder: u64) -> Option<u64> {
        let stamp = self.pages.get(&w.page).map_or(0, |p| p.1);
        if !self.unguarded && (holder != self.holder || stamp != w.version) {
            return None;
        }
        self.revision += 1;
        self.pages.insert(w.page, (w.value.clone(), self.revision));
        if let Some(head) = &w.head {
            self.head = Some(head.clone());
        }
        w.deleted_pages.iter().for_each(|n| {
            self.pages.remove(n);
        });
        Some(self.revision)
    }

    fn page(&self, n: u64) -> Option<(Page, u64)> {
        let (text, stamp) = self.pages.get(&n)?;
        Some((serde_json::from_str(text).expect("a page"), *stamp))
    }
}

struct World {
    settings: Arc<Settings>,
    keys: Arc<KeyRing>,
    limit: usize,
    store: Store,
    term: u64,
    book: Book,
    /// Attempts that the books before this one charged, and those this one did.
    known: HashSet<ChargedAttempt>,
    tickets: HashMap<ChargedAttempt, u64>,
    /// What machines still show.
    shown: BTreeMap<ChargedAttempt, (ChargeGroup, Entry)>,
    held: Vec<(PageWrite, u64)>,
    ended: u32,
    now: Micros,
}

fn settings() -> Settings {
    let teams = [("red".to_string(), 1.0), ("blue".to_string(), 1.0)];
    let text = "keys = \"k\"\nhalf_life_s = 600.0\nretention_s = 400.0\nbalance_pages = 2\n";
    Settings::parse(text, "f", &teams).expect("it is fine")
}

fn ring(ids: &[&str]) -> KeyRing {
    let text: String = ids
        .iter()
        .map(|id| KeyRing::write(id, &[id.len() as u8; 32]))
        .collect();
    KeyRing::parse(&text).expect("it is fine")
}

impl World {
    fn new(limit: usize) -> World {
        let (settings, keys) = (Arc::new(settings()), Arc::new(ring(&["k"])));
        let book = Book::open(settings.clone(), keys.clone(), limit, WINDOW, None, &[]).book;
        World {
            settings,
            keys,
            limit,
            store: Store::default(),
            term: 0,
            book,
            known: HashSet::new(),
            tickets: HashMap::new(),
            shown: BTreeMap::new(),
            held: Vec::new(),
            ended: 0,
            now: 1_700_000_000 * SECOND,
        }
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.store.holder = self.term;
        let head = self.store.head.clone();
        let from = head.as_ref().map_or(u64::MAX, |h| h.from);
        let numbers = self.store.pages.range(from..).map(|p| *p.0);
        let pages: Vec<(Page, u64)> = numbers.filter_map(|n| self.store.page(n)).collect();
        self.tickets.clear();
        let (settings, keys) = (self.settings.clone(), self.keys.clone());
        let opened = Book::open(settings, keys, self.limit, WINDOW, head, &pages);
        assert!(opened.damaged.is_empty(), "{:?}", opened.damaged);
        (self.book, self.known) = (opened.book, opened.charged);
        let took = OwnerChange {
            term: self.term,
            owner: "n".into(),
            at: self.now,
            complete: true,
        };
        self.book.queue_line(LineBody::OwnerChanged(took), self.now);
    }

    fn end(&mut self) {
        let n = self.ended;
        self.ended += 1;
        let common = ChargeGroup {
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
        let spent = StageTimes([1, 2, 3, u64::from(n) * 1000, 5, 6]);
        let entry = Entry {
            task: n,
            attempt: 9,
            machine: format!("host-{}", n % 7),
            begin: self.now - spent.held(),
            stage_times: spent,
            max_error: 0,
            is_estimate: false,
        };
        let key = (common.job.clone(), n, 9, entry.machine.clone());
        self.shown.insert(key, (common, entry));
    }

    fn report(&mut self) {
        for (key, (common, entry)) in &self.shown {
            if !self.known.contains(key) && !self.tickets.contains_key(key) {
                let ticket = self.book.charge(common.clone(), entry.clone(), self.now);
                self.tickets.insert(key.clone(), ticket);
            }
        }
        let (known, tickets, book) = (&self.known, &self.tickets, &self.book);
        self.shown.retain(|key, _| {
            !known.contains(key) && !tickets.get(key).is_some_and(|t| book.is_written(*t))
        });
    }

    fn write(&mut self, fate: Fate) {
        let Some(w) = self.book.next_write(self.now, self.now, 6) else {
            return;
        };
        match fate {
            Fate::Done => match self.store.commit(&w, self.term) {
                Some(stamp) => {
                    self.book.write_succeeded(stamp);
                }
                None => self.book.write_failed(true),
            },
            Fate::LostReply => {
                self.store.commit(&w, self.term);
                self.book.write_failed(true);
            }
            Fate::LostRequest => self.book.write_failed(true),
            Fate::Held => {
                self.held.push((w, self.term));
                self.book.write_failed(true);
            }
        }
    }

    fn reread(&mut self) {
        if let Some(n) = self.book.page_to_reread() {
            let found = self.store.page(n);
            let result = self
                .book
                .handle_reread(found.as_ref().map(|(p, s)| (p, *s)));
            assert!(result.is_ok(), "{result:?}");
        }
    }

    fn step(&mut self, step: &Step) {
        self.now += SECOND;
        match step {
            Step::End(n) => (0..*n).for_each(|_| self.end()),
            Step::Report => self.report(),
            Step::Write(fate) => {
                self.now += 3 * SECOND;
                self.write(*fate);
            }
            Step::Reread => self.reread(),
            Step::Late if !self.held.is_empty() => {
                let (w, holder) = self.held.remove(0);
                self.store.commit(&w, holder);
            }
            Step::Late => {}
            Step::Takeover => self.take_over(),
            Step::Idle => {
                self.report();
                let tickets = &self.tickets;
                self.shown.retain(|key, _| tickets.contains_key(key));
                if self.shown.is_empty() {
                    self.now += 2 * WINDOW;
                }
            }
        }
    }

    /// Writes all there is; returns the pages.
    fn finish(&mut self) -> Vec<Page> {
        self.take_over();
        for _ in 0..400 {
            self.report();
            self.now += 3 * SECOND;
            self.write(Fate::Done);
            self.reread();
            if self.shown.is_empty() && self.book.unwritten_charges() == 0 {
                break;
            }
        }
        assert!(
            self.shown.is_empty(),
            "still not written: {:?}",
            self.shown.keys()
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

    /// Everything that ended, charged by hand.
    fn all(&self) -> Vec<(String, String, u64)> {
        let mut world = World::new(1 << 20);
        let now = self.now;
        world.now = now;
        (0..self.ended).for_each(|_| world.end());
        let mut sums: BTreeMap<(String, String), u64> = BTreeMap::new();
        for (common, entry) in world.shown.values() {
            *sums
                .entry((common.team.clone(), common.class.clone()))
                .or_default() += entry.stage_times.held();
        }
        sums.into_iter().map(|((t, c), s)| (t, c, s)).collect()
    }
}

fn held(accounts: &Accounts) -> Vec<(String, String, u64)> {
    accounts
        .iter()
        .map(|((t, c), a)| (t.clone(), c.clone(), a.times()[0] as u64))
        .collect()
}

fn play(steps: &[Step], limit: usize, unguarded: bool) -> Result<(), String> {
    let mut world = World::new(limit);
    world.store.unguarded = unguarded;
    world.take_over();
    steps.iter().for_each(|s| world.step(s));
    let pages = world.finish();
    let verified = verify(&pages, &world.keys, &world.settings, None).map_err(|f| f.to_string())?;
    let (got, want) = (held(&verified.accounts), world.all());
    if got != want {
        return Err(format!("{got:?} is charged, {want:?} was used"));
    }
    // The keeper's own books, pieced together from balances and pages, say the same.
    if held(world.book.accounts()) != want {
        return Err(format!("the keeper has {:?}", held(world.book.accounts())));
    }
    let mut seen = HashSet::new();
    let lines = pages.iter().flat_map(|p| p.read().expect("verified"));
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
    fn every_attempt_is_charged_once(steps in steps(), limit in 1500usize..6000) {
        prop_assert_eq!(play(&steps, limit, false), Ok(()));
    }
}

#[test]
fn a_store_that_lets_a_deposed_keeper_write_is_caught() {
    use Fate::{Done, Held};
    let charged = [
        Step::End(3),
        Step::Report,
        Step::Write(Held),
        Step::Takeover,
        Step::Report,
    ];
    let late = [
        Step::Write(Done),
        Step::End(1),
        Step::Report,
        Step::Write(Done),
        Step::Report,
    ];
    let steps: Vec<Step> = charged
        .into_iter()
        .chain(late)
        .chain([Step::Late])
        .collect();
    assert_eq!(play(&steps, 4000, false), Ok(()));
    // The check can fail: without the guards the old keeper's page replaces the new one's.
    let caught = std::panic::catch_unwind(|| play(&steps, 4000, true));
    assert!(!matches!(caught, Ok(Ok(()))), "{caught:?}");
}

fn written(n: u32, limit: usize) -> (World, Vec<Page>) {
    let mut world = World::new(limit);
    world.take_over();
    for _ in 0..n {
        world.step(&Step::End(2));
        world.step(&Step::Report);
        world.step(&Step::Write(Fate::Done));
    }
    let pages = world.finish();
    (world, pages)
}

#[test]
fn what_was_tampered_with_is_named() {
    let (world, pages) = written(12, 1500);
    assert!(pages.len() > 2, "{} pages", pages.len());
    let check = |pages: &[Page]| verify(pages, &world.keys, &world.settings, None);
    let fine = check(&pages).unwrap();
    assert_eq!(fine.charged, 24);
    let place = pages[1]
        .lines
        .iter()
        .position(|l| l[1] == "charge")
        .unwrap();
    let wrong = |change: &dyn Fn(&mut Vec<Page>)| {
        let mut pages = pages.clone();
        change(&mut pages);
        let fault = check(&pages).unwrap_err();
        (fault.page, fault.position, fault.kind)
    };
    let altered = wrong(&|p| p[1].lines[place][2][0] = "green".into());
    assert_eq!(altered, (pages[1].page, place, FaultKind::Altered));
    let dropped = wrong(&|p| drop(p[1].lines.remove(place)));
    assert_eq!((dropped.0, dropped.1), (pages[1].page, place));
    assert!(matches!(dropped.2, FaultKind::Dropped | FaultKind::Altered));
    let doubled = wrong(&|p| {
        let line = p[1].lines[0].clone();
        p[1].lines.insert(1, line);
    });
    assert_eq!(doubled, (pages[1].page, 1, FaultKind::Doubled));
    let reordered = wrong(&|p| p[0].lines.swap(0, 1));
    assert_eq!(reordered, (pages[0].page, 0, FaultKind::Reordered));
    assert_eq!(wrong(&|p| drop(p.remove(1))).2, FaultKind::Dropped);
    assert_eq!(
        wrong(&|p| drop(p.remove(0))).2,
        FaultKind::Dropped,
        "it was not folded"
    );
    assert_eq!(
        wrong(&|p| p[1].key = "other".into()).2,
        FaultKind::UnknownKey
    );
    // Lines cut off at the end show only to one who knows that they were there.
    let mut cut = pages.clone();
    cut.last_mut().unwrap().lines.pop();
    assert!(check(&cut).is_ok());
    let head = Some((fine.next - 1, fine.head));
    assert!(verify(&pages, &world.keys, &world.settings, head).is_ok());
    let fault = verify(&cut, &world.keys, &world.settings, head).unwrap_err();
    assert_eq!(fault.kind, FaultKind::Dropped);
    // Another key file does not verify.
    let other = ring(&["kk", "k"]);
    assert!(
        verify(&pages, &other, &world.settings, None).is_ok(),
        "the same secret"
    );
    let text = KeyRing::write("k", &[9; 32]);
    let forged = KeyRing::parse(&text).unwrap();
    assert_eq!(
        verify(&pages, &forged, &world.settings, None)
            .unwrap_err()
            .kind,
        FaultKind::Altered
    );
}

#[test]
fn folding_keeps_the_sums_and_a_rotated_key_goes_on() {
    let mut world = World::new(1500);
    world.take_over();
    let mut whole: BTreeMap<u64, Page> = BTreeMap::new();
    for round in 0..160 {
        if round == 80 {
            world.keys = Arc::new(ring(&["k", "k2"]));
            world.take_over();
        }
        world.step(&Step::End(4));
        for _ in 0..6 {
            world.step(&Step::Report);
            world.step(&Step::Write(Fate::Done));
        }
        whole.extend(world.pages().into_iter().map(|p| (p.page, p)));
        world.step(&Step::Idle);
    }
    let left = world.finish();
    whole.extend(left.iter().map(|p| (p.page, p.clone())));
    assert!(
        left.len() < whole.len() / 2,
        "{} of {} pages are left",
        left.len(),
        whole.len()
    );
    let whole: Vec<Page> = whole.into_values().collect();
    let all = verify(&whole, &world.keys, &world.settings, None).unwrap();
    let folded = verify(&left, &world.keys, &world.settings, None).unwrap();
    assert!(all.first == 0 && folded.first > 0 && folded.whole);
    assert_eq!((all.next, all.head), (folded.next, folded.head));
    assert_eq!(held(&all.accounts), held(&folded.accounts));
    assert_eq!(held(&folded.accounts), world.all());
    let keys: HashSet<&str> = whole.iter().map(|p| &*p.key).collect();
    assert_eq!(keys.len(), 2);
    assert!(verify(&whole, &ring(&["k"]), &world.settings, None).is_err());
}

#[test]
fn a_page_that_is_not_as_it_was_written_is_left_alone() {
    let (mut world, pages) = written(6, 3000);
    let newest = pages.last().unwrap().page;
    let broken = "{\"page\":0}".to_string();
    world.store.pages.insert(newest, (broken.clone(), 999_999));
    let (head, keys) = (world.store.head.clone(), world.keys.clone());
    let from = head.as_ref().unwrap().from;
    let found: Vec<(Page, u64)> = (from..newest).filter_map(|n| world.store.page(n)).collect();
    let OpenedBook {
        mut book, damaged, ..
    } = Book::open(world.settings.clone(), keys, 3000, WINDOW, head, &found);
    assert_eq!(damaged.iter().map(|d| d.0).collect::<Vec<_>>(), [newest]);
    let took = OwnerChange {
        term: 9,
        owner: "n".into(),
        at: world.now,
        complete: true,
    };
    book.queue_line(LineBody::OwnerChanged(took), world.now);
    let w = book
        .next_write(world.now + 9 * SECOND, world.now, 2)
        .expect("the service goes on");
    assert_eq!((w.page, w.version), (newest + 1, 0));
    let page: Page = serde_json::from_str(&w.value).unwrap();
    assert!(
        page.read()
            .unwrap()
            .iter()
            .any(|(l, _): &(Line, _)| matches!(l.body, LineBody::OwnerChanged(_)))
    );
}
