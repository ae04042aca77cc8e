"""Robust linear regression with priors, updated one observation at a time."""

# Observed values are limited to this multiple of the expected one, and its inverse, so
# that one stalled request does not change the coefficients of a service.
MAX_RATIO = 3.0
# Assumed relative standard deviation of an observation.
RELATIVE_NOISE = 0.3
# Larger relative deviations count linearly, not squared (Huber). The fit then follows
# the median: delays by what no process knows of make the mean larger.
LINEAR_DEVIATION = 0.1
SOLVE_INTERVAL = 8
# Weight of shared coefficients relative to the built-in priors.
SHARED_PRECISION = 4.0


class RidgeFit:
    """Coefficients of a sum of features, weighted by relative error.

    A ridge penalty pulls each coefficient to its prior. Older observations decay, so
    that the state is bounded and follows changes.

    Parameters
    ----------
    priors : sequence of float
        Values of the coefficients before the first observation.
    spreads : sequence of float
        Standard deviations of the priors.
    memory : int
        Number of observations after which an old one has lost most of its weight.
    """

    def __init__(self, priors, spreads, memory: int = 400):
        self.coefficients = list(priors)
        self.samples = 0
        self._centre = list(priors)
        self._limits = [p + 8 * s for p, s in zip(priors, spreads, strict=True)]
        self._spreads = list(spreads)
        self._precision = [1 / s**2 for s in spreads]
        self._decay = 1 - 1 / memory
        size = len(self._centre)
        self._gram = [[0.0] * size for _ in range(size)]
        self._moment = [0.0] * size

    def predict(self, features) -> float:
        """Return the expected value."""
        return sum(c * x for c, x in zip(self.coefficients, features, strict=True))

    def observe(self, features, value: float) -> bool:
        """Add an observation; return whether the coefficients were solved anew."""
        expected = self.predict(features)
        if expected < 1.0:
            # Nothing is expected yet that an outlier could be told from.
            expected = max(1.0, value)
        value = min(expected * MAX_RATIO, max(expected / MAX_RATIO, value))
        weight = 1 / (RELATIVE_NOISE * expected) ** 2
        deviation = abs(value / expected - 1)
        weight *= min(1.0, LINEAR_DEVIATION / max(LINEAR_DEVIATION, deviation))
        for i, x in enumerate(features):
            row = self._gram[i]
            for j, y in enumerate(features):
                row[j] = row[j] * self._decay + weight * x * y
            self._moment[i] = self._moment[i] * self._decay + weight * x * value
        self.samples += 1
        if self.samples % SOLVE_INTERVAL:
            return False
        self._solve()
        return True

    def adopt(self, shared: list[float]) -> None:
        """Use coefficients that others have learned as the prior from now on."""
        if len(shared) != len(self._centre):
            return
        self._centre = [
            min(limit, max(0.0, value))
            for value, limit in zip(shared, self._limits, strict=True)
        ]
        self._precision = [SHARED_PRECISION / s**2 for s in self._spreads]
        self._solve()

    def _solve(self) -> None:
        size = len(self._centre)
        rows = []
        for i in range(size):
            prior = self._precision[i]
            row = [*self._gram[i], self._moment[i] + prior * self._centre[i]]
            row[i] += prior
            rows.append(row)
        for i in range(size):
            for k in range(i + 1, size):
                scale = rows[k][i] / rows[i][i]
                for j in range(i, size + 1):
                    rows[k][j] -= scale * rows[i][j]
        solution = [0.0] * size
        for i in reversed(range(size)):
            rest = sum(rows[i][j] * solution[j] for j in range(i + 1, size))
            solution[i] = (rows[i][size] - rest) / rows[i][i]
        self.coefficients = [
            min(limit, max(0.0, value))
            for value, limit in zip(solution, self._limits, strict=True)
        ]
