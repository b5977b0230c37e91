use super::*;
use gannethub_core::wire::peer::{Heartbeat, RelayHeartbeat};

fn relay(id: u64) -> Envelope {
    Envelope {
        from: "n1".into(),
        body: Some(Body::RelayHeartbeat(RelayHeartbeat {
            id,
            heartbeat: "{}".into(),
        })),
    }
}

fn beat() -> Envelope {
    Envelope {
        from: "n1".into(),
        body: Some(Body::Heartbeat(Heartbeat::default())),
    }
}

/// Writes what `collect` gives, and tells at which millisecond and how many messages.
async fn written(mut messages: mpsc::Receiver<Envelope>, window: Duration) -> Vec<(u64, usize)> {
    let (start, mut writes, mut batch) = (Instant::now(), Vec::new(), Vec::new());
    let mut after = start;
    while collect(&mut messages, &mut batch, after).await {
        after = Instant::now() + window;
        writes.push((start.elapsed().as_millis() as u64, batch.drain(..).count()));
    }
    writes
}

#[tokio::test(start_paused = true)]
async fn reports_passed_on_go_together_and_nothing_else_waits() {
    let (sender, messages) = mpsc::channel(QUEUE);
    let say = async move {
        // A report every 5 ms for 100 ms; at 82 ms the sender is heard of for another reason.
        for i in 0..20u64 {
            sender.send(relay(i)).await.unwrap();
            sleep(Duration::from_millis(5)).await;
            if i == 15 {
                sleep(Duration::from_millis(2)).await;
                sender.send(beat()).await.unwrap();
            }
        }
        sleep(Duration::from_millis(200)).await;
        // After a pause the first one goes at once. Then as many as are written at once come together.
        sender.send(relay(20)).await.unwrap();
        sleep(Duration::from_millis(1)).await;
        for i in 0..BATCH as u64 {
            sender.send(relay(100 + i)).await.unwrap();
        }
        sleep(Duration::from_millis(100)).await;
    };
    let (writes, ()) = tokio::join!(written(messages, Duration::from_millis(50)), say);
    let expected = [(0, 1), (50, 9), (82, 8), (132, 3), (302, 1), (303, BATCH)];
    assert_eq!(writes, expected);
}
