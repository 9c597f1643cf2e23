"""Sites of the users as data: zones, targets and kinds of jobs."""

import attrs


@attrs.frozen
class JobKind:
    """A kind of job.

    Attributes:
        name: Name.
        per_s: Mean arrivals per second at full load.
        tasks: Number of tasks.
        seconds: Mean run time of a task at a target of speed 1.
    """

    name: str
    per_s: float
    tasks: int
    seconds: float


@attrs.frozen
class CutSite:
    """A site whose entries can be cut off.

    Attributes:
        entries: Number of entries by zone.
        targets: Number of targets of each zone.
        kinds: Kinds of jobs; the second is the one with the longest tasks.
        deadline_s: Time for which callers wait for an answer, in seconds.
    """

    entries: dict[str, int]
    targets: int
    kinds: tuple[JobKind, ...]
    deadline_s: float = 1.5

    @property
    def entry_zones(self) -> list[str]:
        """Zone of each entry."""
        return [
            zone for zone, count in self.entries.items() for _ in range(count)
        ]

    @property
    def target_zones(self) -> list[str]:
        """Zone of each target."""
        return sorted(self.entries) * self.targets

    def stretch(self, factor: float) -> "CutSite":
        """Returns the site with longer tasks and deadlines and fewer jobs."""
        kinds = tuple(
            attrs.evolve(
                kind, per_s=kind.per_s / factor, seconds=kind.seconds * factor
            )
            for kind in self.kinds
        )
        return attrs.evolve(
            self, kinds=kinds, deadline_s=self.deadline_s * factor
        )


# The users' load of trama-norte in jobs per second, and the shares of the kinds
# in it.
TRAMA_NORTE_JOBS_PER_S = 62.0
TRAMA_NORTE_SHARES = (34.4 / 140.65, 6.25 / 140.65, 100.0 / 140.65)

SITES = {
    "kerlann-fill": CutSite(
        {"lorient-a": 1, "quimper-a": 3, "quimper-b": 3, "vannes-a": 1},
        6,
        (
            JobKind("weigh-check", 15.1, 8, 0.051),
            JobKind("fill-plan", 2.75, 4, 0.76),
            JobKind("seal-confirm", 44.0, 2, 0.17),
        ),
    ),
    "trama-norte": CutSite(
        {
            "galpon-origen": 3,
            "planta-pna": 2,
            "planta-sfe": 2,
            "planta-vc": 2,
        },
        6,
        tuple(
            JobKind(name, TRAMA_NORTE_JOBS_PER_S * share, tasks, seconds)
            for share, (name, tasks, seconds) in zip(
                TRAMA_NORTE_SHARES,
                (
                    ("ajuste-molde", 8, 0.051),
                    ("diseno-tejido", 4, 0.76),
                    ("fecha-envio", 2, 0.17),
                ),
                strict=True,
            )
        ),
    ),
}
