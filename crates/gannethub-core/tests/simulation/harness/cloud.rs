//! Controllers' requests to the simulated cloud.

use super::*;

/// Response time of the cloud.
const CLOUD_DELAY: u64 = 20_000;

impl World {
    /// Limits the cloud to these machines: machine type, zone, whether spot, and number. Other offers have none.
    pub fn limit_offers(&mut self, offers: &[(&str, &str, bool, usize)]) {
        let capacity = |(machine_type, zone, spot, count): &(&str, &str, bool, usize)| {
            let offer = (machine_type.to_string(), zone.to_string(), *spot);
            (offer, *count)
        };
        self.cloud.offer_capacity = Some(offers.iter().map(capacity).collect());
    }

    /// Handles a request that reaches the cloud and schedules the answer.
    pub(super) fn handle_cloud_request(
        &mut self,
        node: usize,
        incarnation: u32,
        id: u64,
        path: &str,
        body: &Bytes,
    ) {
        if self.faults.provisioning_unanswered && path == "/rentals" && !body.is_empty() {
            return;
        }
        let (status, body) = self.ask_cloud(path, body);
        let answer = Ok(Answer::new(status, body.to_string()));
        self.schedule(
            CLOUD_DELAY,
            Event::Command {
                node,
                incarnation,
                command: Command::CloudAnswer { id, answer },
            },
        );
    }

    pub(super) fn ask_cloud(&mut self, path: &str, body: &Bytes) -> (u16, Value) {
        let mut workers = std::mem::take(&mut self.workers);
        let mut cloud = std::mem::take(&mut self.cloud);
        let (status, answer, gone) = cloud.handle(path, body, &mut workers, self);
        (self.workers, self.cloud) = (workers, cloud);
        for mut w in gone {
            w.tasks.clear();
            self.record_worker(&w);
        }
        (status, answer)
    }
}
