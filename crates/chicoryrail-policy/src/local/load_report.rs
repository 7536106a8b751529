//! Parses the load reports in the responses of servers.

/// Load that a server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that the server processes.
    pub running: u32,
    /// Number of requests that wait at the server.
    pub waiting: u32,
    /// Maximum number of requests that the server processes concurrently.
    pub slots: u32,
    /// Time that work currently takes, in percent of the usual time, from 1 to 10,000.
    pub slowdown_percent: u32,
}

impl LoadReport {
    /// Parses `running,waiting,slots[,slowdown]`; returns `None` if a number is missing or invalid. Without a slowdown,
    /// work takes the usual time. Further fields are ignored.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryrail_policy::LoadReport;
    ///
    /// let report = LoadReport::parse("2,1,2,300").unwrap();
    /// assert_eq!((report.waiting, report.slowdown_percent), (1, 300));
    /// assert_eq!(LoadReport::parse("3,0,8").unwrap().slowdown_percent, 100);
    /// assert!(LoadReport::parse("3,x,8").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|f| f.trim().parse::<u32>());
        let mut next = || numbers.next().transpose().ok();
        let running = next()??;
        let waiting = next()??;
        let slots = next()??;
        let slowdown_percent = next()?.unwrap_or(100);
        Some(Self {
            running,
            waiting,
            slots,
            slowdown_percent: slowdown_percent.clamp(1, 10_000),
        })
    }
}
