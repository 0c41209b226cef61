"""Leave out servers that fail more of their requests than others of their service.

`evidence` counts and weighs outcomes, `detector` ejects servers and lets them return.
"""

from boragespring.outliers.detector import OutlierDetector, OutlierSettings
from boragespring.outliers.evidence import OutcomeCounts, Outcomes, improbability

__all__ = [
    "OutcomeCounts",
    "Outcomes",
    "OutlierDetector",
    "OutlierSettings",
    "improbability",
]
