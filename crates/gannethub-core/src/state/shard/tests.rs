use super::*;

fn member() -> ShardMember {
    ShardMember {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
    }
}

/// Writes all dirty chunks to `store`.
fn write_all(shard: &mut Shard, store: &mut BTreeMap<usize, ChunkRecord>, limit: usize) {
    while let Some(write) = shard.next_dirty_chunk(true) {
        assert!(serde_json::to_string(&write.record).unwrap().len() <= limit);
        store.insert(write.index, write.record);
        shard.mark_write_in_flight(write.index);
        shard.mark_written(write.index, 9);
    }
}

fn load(store: &BTreeMap<usize, ChunkRecord>, limit: usize) -> Shard {
    let mut shard = Shard::new(0, 2, "n1", limit, 100);
    store
        .iter()
        .for_each(|(chunk, record)| shard.load_chunk(*chunk, record.clone(), 9));
    shard.finish_loading();
    shard
}

#[test]
fn successor_loads_the_machines_of_all_chunks() {
    let mut shard = Shard::new(0, 1, "n0", 1024, 100);
    for index in 0..30 {
        shard.add(&format!("host-{index}"), member(), None);
    }
    shard.remove("host-3");
    let mut store = BTreeMap::new();
    write_all(&mut shard, &mut store, 1024);
    assert!(store.len() > 1);
    let mut successor = load(&store, 1024);
    assert_eq!(successor.parse_chunk_key(&shard.chunk_key(1)), Some(1));
    assert!(successor.contains("host-13") && !successor.contains("host-3"));
    assert!(successor.next_dirty_chunk(true).is_none());
    successor.add("host-99", member(), None);
    assert_eq!(
        successor.next_dirty_chunk(false).unwrap().index,
        0,
        "the space freed by host-3 is reused"
    );
}

#[test]
fn splitting_an_oversized_chunk_keeps_every_machine_on_record() {
    let mut shard = Shard::new(0, 1, "n0", 16 * 1024, 100);
    for index in 0..100 {
        shard.add(&format!("host-{index:06}"), member(), None);
    }
    let mut store = BTreeMap::new();
    write_all(&mut shard, &mut store, 16 * 1024);
    assert_eq!(store.len(), 1);
    // The owner that splits the chunk may crash after any number of writes, and its successor continues.
    for write_count in 0..12 {
        let mut store = store.clone();
        let mut shard = load(&store, 2048);
        for _ in 0..write_count {
            let Some(write) = shard.next_dirty_chunk(true) else {
                break;
            };
            assert!(serde_json::to_string(&write.record).unwrap().len() <= 2048);
            store.insert(write.index, write.record);
            shard.mark_write_in_flight(write.index);
            shard.mark_written(write.index, 9);
            let successor = load(&store, 2048);
            assert!((0..100).all(|index| successor.contains(&format!("host-{index:06}"))));
        }
        let mut successor = load(&store, 2048);
        write_all(&mut successor, &mut store, 2048);
        let sizes = store
            .values()
            .map(|record| serde_json::to_string(record).unwrap().len());
        assert!(sizes.max().unwrap() <= 2048 && store.len() >= 4);
        let total: usize = store.values().map(|record| record.machines.len()).sum();
        assert_eq!(total, 100, "no machine is left in two chunks");
    }
}

#[test]
fn removals_wait_for_idle_or_a_batch_and_additions_do_not() {
    let mut shard = Shard::new(0, 1, "n0", 4096, 100);
    for index in 0..9 {
        shard.add(&format!("host-{index}"), member(), None);
    }
    write_all(&mut shard, &mut BTreeMap::new(), 4096);
    shard.remove("host-1");
    assert!(shard.next_dirty_chunk(false).is_none() && shard.next_dirty_chunk(true).is_some());
    shard.add("host-10", member(), None);
    assert!(shard.next_dirty_chunk(false).is_some());
    write_all(&mut shard, &mut BTreeMap::new(), 4096);
    (2..9).for_each(|index| shard.remove(&format!("host-{index}")));
    shard.remove("host-10");
    assert!(
        shard.next_dirty_chunk(false).is_some(),
        "a batch of removals does not wait"
    );
}
