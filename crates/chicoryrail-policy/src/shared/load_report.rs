//! What a server says of its load.

/// What a server says of its load with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time.
    pub pace: u32,
}

impl LoadReport {
    /// Reads `running,waiting,slots[,pace]`; `None` where it is anything else.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryrail_policy::LoadReport;
    ///
    /// let report = LoadReport::parse("2,1,2,300").unwrap();
    /// assert_eq!((report.waiting, report.pace), (1, 300));
    /// assert_eq!(LoadReport::parse("3,0,8").unwrap().pace, 100);
    /// assert!(LoadReport::parse("3,x,8").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(|f| f.trim().parse::<u32>());
        let mut next = || figures.next().transpose().ok();
        let running = next()??;
        let waiting = next()??;
        let slots = next()??;
        let pace = next()?.unwrap_or(100);
        Some(Self {
            running,
            waiting,
            slots,
            pace: pace.clamp(1, 10_000),
        })
    }
}
