use super::*;

fn member() -> ShardMember {
    ShardMember {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
    }
}

/// Writes all there is to write, in any number of steps, and returns what the store then holds.
fn write_all(block: &mut Shard, store: &mut BTreeMap<usize, ChunkRecord>, limit: usize) {
    while let Some(write) = block.next_dirty_chunk(true) {
        assert!(serde_json::to_string(&write.record).unwrap().len() <= limit);
        store.insert(write.index, write.record);
        block.mark_write_in_flight(write.index);
        block.mark_written(write.index, 9);
    }
}

fn load(store: &BTreeMap<usize, ChunkRecord>, limit: usize) -> Shard {
    let mut block = Shard::new(0, 2, "n1", limit, 100);
    store
        .iter()
        .for_each(|(chunk, record)| block.load_chunk(*chunk, record.clone(), 9));
    block.finish_loading();
    block
}

#[test]
fn machines_spread_over_chunks_and_a_successor_reads_them_all() {
    let mut block = Shard::new(0, 1, "n0", 1024, 100);
    for i in 0..30 {
        block.add(&format!("host-{i}"), member(), None);
    }
    block.remove("host-3");
    let mut store = BTreeMap::new();
    write_all(&mut block, &mut store, 1024);
    assert!(store.len() > 1);
    let mut next = load(&store, 1024);
    assert_eq!(next.parse_chunk_key(&block.chunk_key(1)), Some(1));
    assert!(next.contains("host-13") && !next.contains("host-3"));
    assert!(next.next_dirty_chunk(true).is_none());
    next.add("host-99", member(), None);
    assert_eq!(
        next.next_dirty_chunk(false).unwrap().index,
        0,
        "the room that host-3 left is used again"
    );
}

#[test]
fn a_chunk_too_large_is_split_and_at_no_moment_is_a_machine_without_a_record() {
    let mut big = Shard::new(0, 1, "n0", 16 * 1024, 100);
    for i in 0..100 {
        big.add(&format!("host-{i:06}"), member(), None);
    }
    let mut store = BTreeMap::new();
    write_all(&mut big, &mut store, 16 * 1024);
    assert_eq!(store.len(), 1);
    // The one that splits may end after any number of writes, and another goes on.
    for most in 0..12 {
        let mut store = store.clone();
        let mut block = load(&store, 2048);
        for _ in 0..most {
            let Some(write) = block.next_dirty_chunk(true) else {
                break;
            };
            assert!(serde_json::to_string(&write.record).unwrap().len() <= 2048);
            store.insert(write.index, write.record);
            block.mark_write_in_flight(write.index);
            block.mark_written(write.index, 9);
            let next = load(&store, 2048);
            assert!((0..100).all(|i| next.contains(&format!("host-{i:06}"))));
        }
        let mut next = load(&store, 2048);
        write_all(&mut next, &mut store, 2048);
        let sizes = store
            .values()
            .map(|r| serde_json::to_string(r).unwrap().len());
        assert!(sizes.max().unwrap() <= 2048 && store.len() >= 4);
        let total: usize = store.values().map(|r| r.machines.len()).sum();
        assert_eq!(total, 100, "none is left in two chunks");
    }
}

#[test]
fn removals_wait_for_a_quiet_moment_and_additions_do_not() {
    let mut block = Shard::new(0, 1, "n0", 4096, 100);
    for i in 0..9 {
        block.add(&format!("host-{i}"), member(), None);
    }
    write_all(&mut block, &mut BTreeMap::new(), 4096);
    block.remove("host-1");
    assert!(block.next_dirty_chunk(false).is_none() && block.next_dirty_chunk(true).is_some());
    block.add("host-10", member(), None);
    assert!(block.next_dirty_chunk(false).is_some());
    write_all(&mut block, &mut BTreeMap::new(), 4096);
    (2..9).for_each(|i| block.remove(&format!("host-{i}")));
    block.remove("host-10");
    assert!(
        block.next_dirty_chunk(false).is_some(),
        "many removals do not wait for ever"
    );
}
