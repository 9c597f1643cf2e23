"""Real entry processes whose connections to each other are cut."""

from testkit.cuts._callers import Break
from testkit.cuts._day import Burst
from testkit.cuts._day import Cut
from testkit.cuts._day import load_day
from testkit.cuts._entry import use_cut_loop
from testkit.cuts._links import SiteLinks
from testkit.cuts._report import CutReport
from testkit.cuts._run import CutOptions
from testkit.cuts._run import play_day
from testkit.cuts._sites import CutSite
from testkit.cuts._sites import SITES

__all__ = [
    "Break",
    "Burst",
    "Cut",
    "CutOptions",
    "CutReport",
    "CutSite",
    "SITES",
    "SiteLinks",
    "load_day",
    "play_day",
    "use_cut_loop",
]
