"""Division of scarce room between workspaces and urgencies."""

from collections.abc import Mapping, Sequence

from papayacrank.messages import ServiceDemand

# Each workspace keeps this part of its demand at each urgency, so that none is starved,
# unless that is more than its share of the room by rates.
MIN_SHARE = 0.3


def share_room(
    rows: Sequence[ServiceDemand], room: float, rates: Mapping[str, float]
) -> dict[tuple[str, int], float]:
    """Return the part of each row that is admitted, by workspace and urgency.

    Each row gets its minimum. The rest of the room goes to the urgencies in order, so
    that a more urgent kind is never admitted less than a less urgent one, and within an
    urgency to the workspaces by their rates: none gets more while another one that asks
    for it has less for its rate (max-min).

    Parameters
    ----------
    rows : sequence of ServiceDemand
        Demand for one service.
    room : float
        Work that can be served, in the unit of the demand.
    rates : mapping of str to float
        Rates of the workspaces; those that are missing count as the mean of the others.
    """
    rows = [row for row in rows if row.asked > 0]
    mean = sum(rates.values()) / len(rates) if rates else 1.0
    asked: dict[str, float] = {}
    for row in rows:
        asked[row.workspace] = asked.get(row.workspace, 0.0) + row.asked
    weights = {name: rates.get(name) or mean for name in asked}
    by_rate = room / sum(weights.values()) if weights else 0.0
    minimum = {
        name: min(MIN_SHARE, weights[name] * by_rate / asked[name]) for name in asked
    }
    room -= sum(minimum[row.workspace] * row.asked for row in rows)
    parts: dict[tuple[str, int], float] = {}
    for urgency in sorted({row.urgency for row in rows}):
        level = {r.workspace: r.asked for r in rows if r.urgency == urgency}
        wanted = {name: (1 - minimum[name]) * work for name, work in level.items()}
        given = _max_min(wanted, {n: weights[n] for n in level}, max(0.0, room))
        room -= sum(given.values())
        for name, work in level.items():
            parts[(name, urgency)] = min(1.0, minimum[name] + given[name] / work)
    return parts


def _max_min(
    wanted: Mapping[str, float], weights: Mapping[str, float], room: float
) -> dict[str, float]:
    """Return the weighted max-min shares of the room."""
    given: dict[str, float] = {}
    weight = sum(weights.values())
    for name in sorted(wanted, key=lambda n: (wanted[n] / weights[n], n)):
        given[name] = min(wanted[name], room * weights[name] / weight)
        room -= given[name]
        weight -= weights[name]
    return given
