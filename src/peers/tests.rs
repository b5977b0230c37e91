use super::*;
use gannethub_core::wire::peer::{Heartbeat, RelayHeartbeat};

fn relayed_heartbeat(id: u64) -> Envelope {
    Envelope {
        from: "n1".into(),
        body: Some(Body::RelayHeartbeat(RelayHeartbeat {
            id,
            heartbeat: "{}".into(),
        })),
    }
}

fn peer_heartbeat() -> Envelope {
    Envelope {
        from: "n1".into(),
        body: Some(Body::Heartbeat(Heartbeat::default())),
    }
}

/// Returns the time, in milliseconds, and the number of messages of each batch that `collect_batch` returns.
async fn collected_batches(
    mut messages: mpsc::Receiver<Envelope>,
    relay_window: Duration,
) -> Vec<(u64, usize)> {
    let start = Instant::now();
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut relay_at = start;
    while collect_batch(&mut messages, &mut batch, relay_at).await {
        relay_at = Instant::now() + relay_window;
        let at = start.elapsed().as_millis() as u64;
        batches.push((at, batch.drain(..).count()));
    }
    batches
}

#[tokio::test(start_paused = true)]
async fn relayed_heartbeats_are_batched_and_other_messages_are_not() {
    let (sender, messages) = mpsc::channel(OUTGOING_QUEUE_CAPACITY);
    let send = async move {
        // A heartbeat is relayed every 5 ms for 100 ms. A message of another kind arrives at 82 ms.
        for i in 0..20u64 {
            sender.send(relayed_heartbeat(i)).await.unwrap();
            sleep(Duration::from_millis(5)).await;
            if i == 15 {
                sleep(Duration::from_millis(2)).await;
                sender.send(peer_heartbeat()).await.unwrap();
            }
        }
        sleep(Duration::from_millis(200)).await;
        // After a pause the first heartbeat is sent at once. Then a full batch of heartbeats arrives together.
        sender.send(relayed_heartbeat(20)).await.unwrap();
        sleep(Duration::from_millis(1)).await;
        for i in 0..WRITE_BATCH_SIZE as u64 {
            sender.send(relayed_heartbeat(100 + i)).await.unwrap();
        }
        sleep(Duration::from_millis(100)).await;
    };
    let relay_window = Duration::from_millis(50);
    let (batches, ()) = tokio::join!(collected_batches(messages, relay_window), send);
    let expected = [
        (0, 1),
        (50, 9),
        (82, 8),
        (132, 3),
        (302, 1),
        (303, WRITE_BATCH_SIZE),
    ];
    assert_eq!(batches, expected);
}
