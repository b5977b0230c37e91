use super::*;

const TTL: Micros = 3 * SECOND;

fn rec(name: &str, term: u64) -> Option<(LeadRecord, u64)> {
    Some((
        LeadRecord {
            holder: name.into(),
            term,
            marked: true,
        },
        term + 10,
    ))
}

#[test]
fn a_grant_counts_from_when_its_renewal_was_sent() {
    let mut a = Authority::new(0, TTL);
    assert!(a.valid(TTL - 200_000) && !a.valid(TTL - 100_000));
    a.renewed(SECOND);
    assert!(a.valid(TTL));
    assert!(!a.valid(SECOND + TTL - 100_000));
}

#[test]
fn only_the_promises_of_all_siblings_in_one_round_extend_authority() {
    let mut a = Authority::new(0, TTL);
    let first = a.ask(SECOND, 2);
    a.promised(first, 0, SECOND);
    let second = a.ask(2 * SECOND, 2);
    a.promised(first, 1, 2 * SECOND);
    a.promised(second, 1, 2 * SECOND);
    a.promised(second, 1, 2 * SECOND);
    assert!(!a.valid(TTL));
    a.promised(second, 0, 2 * SECOND);
    assert!(a.valid(2 * SECOND + PROMISE - 200_000));
    assert!(!a.valid(2 * SECOND + PROMISE));
}

#[test]
fn only_what_all_siblings_tell_in_one_round_counts_and_from_its_beginning() {
    let mut a = Authority::new(0, TTL);
    let first = a.ask(SECOND, 2);
    assert_eq!(a.informed(first, 0), None);
    let second = a.ask(2 * SECOND, 2);
    assert_eq!(a.informed(first, 1), None, "an earlier round");
    assert_eq!(a.informed(second, 1), None);
    assert_eq!(a.informed(second, 1), None, "the same once more");
    assert_eq!(
        a.informed(second + 1, 0),
        None,
        "a round that was not asked for"
    );
    assert_eq!(a.informed(second, 0), Some(2 * SECOND));
    assert_eq!(
        Authority::new(0, TTL).informed(0, 0),
        None,
        "nobody was asked"
    );
}

#[test]
fn a_takeover_needs_the_key_gone_and_no_promise_alive() {
    let mut c = Candidacy::new("n1", 0);
    let late = 100 * SECOND;
    assert!(!c.may_try(late), "nothing is known yet");
    c.saw(rec("n0", 3), rec("n0", 3));
    assert!(!c.may_try(late));
    c.saw(None, rec("n0", 3));
    assert!(c.may_try(late));
    assert!(c.promise(3, late, PROMISE));
    assert!(!c.may_try(late + PROMISE) && c.may_try(late + PROMISE + SECOND));
    c.trying = true;
    assert!(!c.promise(3, late, PROMISE), "a takeover is under way");
    c.trying = false;
    c.not_taken(7, None, late);
    assert!(
        !c.promise(3, late, PROMISE),
        "a takeover may still be carried out"
    );
    c.grant_dropped(6);
    assert!(!c.promise(3, late, PROMISE), "that was another grant");
    assert_eq!(c.drop_again(late + DROP_AGAIN - 1), None);
    assert_eq!(c.drop_again(late + DROP_AGAIN), Some(7));
    assert_eq!(c.drop_again(late + DROP_AGAIN), None, "it is under way");
    c.grant_dropped(7);
    assert!(c.promise(3, late, PROMISE));
}

#[test]
fn a_restarted_process_keeps_quiet_unless_it_was_the_leader_itself() {
    let mut c = Candidacy::new("n1", 0);
    c.saw(None, rec("n0", 3));
    assert!(!c.may_try(SECOND) && c.may_try(PROMISE + SECOND));
    c.saw(rec("n1", 4), rec("n1", 4));
    assert!(c.may_try(SECOND), "its own name: its other life is over");
    c.saw(None, None);
    assert!(c.may_try(SECOND), "nobody ever led");
}
