//! Estimates of the upstream's processing times, from observed requests.

/// The factor by which the weight of earlier samples decays with each new one.
const DECAY: f64 = 0.98;

/// The estimated time per unit of work before any sample was recorded.
const INITIAL_US_PER_WORK: f64 = 50.0;

/// The work of the sample that represents the initial estimate.
const INITIAL_WORK: f64 = 1_000.0;

/// The bounds of estimates, which protect against stalled clocks.
const ESTIMATE_BOUNDS: (f64, f64) = (0.01, 200_000.0);

/// Estimates of processing times.
#[derive(Debug, Clone)]
pub(crate) struct TimeEstimates {
    prefill: Regression,
    decode: Regression,
    service: Regression,
    answer: Regression,
}

/// A linear regression of elapsed time over work, with exponential decay.
///
/// Every request has an overhead that does not depend on its work. The ratio of time to
/// work includes this overhead: an engine that served many small requests appeared two
/// to three times slower than equal engines, and received no requests.
#[derive(Debug, Clone, Default)]
struct Regression {
    count: f64,
    work: f64,
    elapsed_us: f64,
    work_squared: f64,
    work_elapsed: f64,
}

impl TimeEstimates {
    pub(crate) fn new() -> Self {
        let (prefill, decode, service) =
            (Regression::new(), Regression::new(), Regression::new());
        let mut answer = Regression::default();
        answer.record(INITIAL_WORK, INITIAL_WORK);
        Self { prefill, decode, service, answer }
    }

    /// Records that a prefill of `tokens` took `elapsed_us`.
    pub(crate) fn record_prefill(&mut self, tokens: u64, elapsed_us: f64) {
        self.prefill.record(tokens as f64, elapsed_us);
    }

    /// Records that a request with this cost occupied the upstream for `elapsed_us`.
    pub(crate) fn record_service(&mut self, cost: u64, elapsed_us: f64) {
        self.service.record(cost as f64, elapsed_us);
    }

    /// Records that an answer of `tokens`, out of at most `max_tokens`, took
    /// `elapsed_us`.
    pub(crate) fn record_answer(
        &mut self,
        tokens: u64,
        max_tokens: u64,
        elapsed_us: f64,
    ) {
        self.decode.record(tokens as f64, elapsed_us);
        self.answer.record(max_tokens as f64, tokens as f64);
    }

    /// Estimates the time of a request from the start of its prefill.
    ///
    /// Answers are often shorter than their limit, which the estimate includes.
    pub(crate) fn request_us(&self, prefill_tokens: u64, max_output_tokens: u64) -> f64 {
        let answer_tokens = max_output_tokens as f64 * self.answer.ratio();
        prefill_tokens as f64 * self.prefill_us_per_token()
            + answer_tokens * self.decode.ratio()
    }

    /// Returns the estimated prefill time per prompt token.
    pub(crate) fn prefill_us_per_token(&self) -> f64 {
        self.prefill.slope_us()
    }

    /// Returns the estimated time per unit of cost, including overhead.
    pub(crate) fn service_us_per_cost(&self) -> f64 {
        self.service.ratio()
    }
}

impl Regression {
    /// Creates a regression with the initial estimate: the origin and one sample.
    fn new() -> Self {
        let mut slope = Self::default();
        slope.record(0.0, 0.0);
        slope.record(INITIAL_WORK, INITIAL_WORK * INITIAL_US_PER_WORK);
        slope
    }

    fn record(&mut self, work: f64, elapsed_us: f64) {
        let add = |sum: &mut f64, sample: f64| *sum = *sum * DECAY + sample;
        add(&mut self.count, 1.0);
        add(&mut self.work, work);
        add(&mut self.elapsed_us, elapsed_us);
        add(&mut self.work_squared, work * work);
        add(&mut self.work_elapsed, work * elapsed_us);
    }

    fn slope_us(&self) -> f64 {
        let variance = self.count * self.work_squared - self.work * self.work;
        // Samples of equal size do not determine a slope, so the ratio is used.
        if variance <= self.work * self.work * 1e-3 {
            return self.ratio();
        }
        let covariance = self.count * self.work_elapsed - self.work * self.elapsed_us;
        (covariance / variance).clamp(ESTIMATE_BOUNDS.0, ESTIMATE_BOUNDS.1)
    }

    fn ratio(&self) -> f64 {
        (self.elapsed_us / self.work.max(1.0)).clamp(ESTIMATE_BOUNDS.0, ESTIMATE_BOUNDS.1)
    }
}
