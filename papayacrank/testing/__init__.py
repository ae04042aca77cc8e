"""Test data builders, stand-in servers and process control for tests and demos."""

from ._builders import build_questionnaire
from ._deployment import Deployment, DeploymentError, DeploymentSize
from ._engine import StandInEngine
from ._engine_model import EngineSpeed, expected_output
from ._fleet import Fleet, FleetError, FleetProcess, HttpResponse
from ._platform import StandInPlatform
from ._relay import Direction, Relay
from ._scripted import ScriptedTarget, build_endless_script
from ._service import StandInService

__all__ = [
    "Deployment",
    "DeploymentError",
    "DeploymentSize",
    "Direction",
    "Fleet",
    "FleetError",
    "FleetProcess",
    "HttpResponse",
    "Relay",
    "ScriptedTarget",
    "EngineSpeed",
    "StandInEngine",
    "StandInPlatform",
    "StandInService",
    "build_questionnaire",
    "build_endless_script",
    "expected_output",
]
