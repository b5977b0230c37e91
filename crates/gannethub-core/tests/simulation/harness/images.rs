//! Images that simulated machines fetch and keep.

use super::*;

/// Fetches of images. By default each launch takes a second to fetch, and no machine keeps an image.
#[derive(Default)]
pub struct Images {
    /// Times in microseconds that machines take to fetch an image. The numbers in the machines' names select among
    /// them in turn. If there are any, each machine keeps the images that it has fetched.
    pub fetch_times: Vec<u64>,
    /// Machines and the images that they keep.
    kept: HashSet<(String, String)>,
}

impl Images {
    /// Makes all machines lose their images.
    pub fn evict_all(&mut self) {
        self.kept.clear();
    }
}

impl World {
    fn image_of(&self, task: &str) -> String {
        let job = self.jobs.get(worker::job_id_of_task(task));
        let image = job.and_then(|job| job.body["build"].as_str());
        image.unwrap_or_default().to_string()
    }

    /// Returns the time, in microseconds, until a task that is launched now has its image.
    pub(super) fn image_fetch_time(&self, worker: &Worker, task: &str) -> u64 {
        let times = &self.images.fetch_times;
        if times.is_empty() {
            return SECOND;
        }
        let image = self.image_of(task);
        if self
            .images
            .kept
            .contains(&(worker.name.clone(), image.clone()))
        {
            return 0;
        }
        let fetches_same = |t: &&worker::Task| {
            t.phase == worker::Phase::Fetching && self.image_of(&t.name) == image
        };
        if let Some(other) = worker.tasks.values().find(fetches_same) {
            return other.phase_ends_at.saturating_sub(self.now);
        }
        let number = worker.name.rsplit('-').next();
        let number: usize = number.and_then(|n| n.parse().ok()).unwrap_or(0);
        times[number % times.len()]
    }

    /// Records that a task's machine has the task's image.
    pub(super) fn record_kept_image(&mut self, worker: &Worker, task: &str) {
        if !self.images.fetch_times.is_empty() {
            let image = self.image_of(task);
            self.images.kept.insert((worker.name.clone(), image));
        }
    }
}
