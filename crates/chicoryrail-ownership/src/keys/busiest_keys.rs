//! The keys with the most requests.

use crate::keys::KeyLoad;
use crate::keys::LoadWindow;

impl KeyLoad {
    /// Returns the keys with the most requests over the last few seconds, the busiest first, at most `count`, each with
    /// its rate in requests a second. Keys without requests are left out.
    #[must_use]
    pub fn busiest_keys(&self, count: usize) -> Vec<(u16, f64)> {
        /// Decayed requests below which a key has none: less than one in the window.
        const REQUESTS_MIN: f64 = 0.1;
        let loads = (0..=u16::MAX).zip(self.key_loads(LoadWindow::Long));
        let mut keys: Vec<_> = loads.filter(|(_, load)| *load >= REQUESTS_MIN).collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        keys.truncate(count);
        let seconds = LoadWindow::Long.length().0 as f64 / 1_000.0 * self.filled_fraction();
        keys.into_iter()
            .map(|(key, load)| (key, load / seconds))
            .collect()
    }
}
