/**
 * Test fixtures for layouts and paths: a fleet with three accelerator types in three data centres.
 */
import type { AcceleratorType, CallEndpoint, CallRoute, EngineConfig, LayerAssignment, LayoutMember } from '@clementineloft/routing'
import { Repeatability } from '@clementineloft/routing'

const large: AcceleratorType = { name: 'large', memoryMb: 72_000, stepFactor: 2.4, readFactor: 3.2 }
const medium: AcceleratorType = { name: 'medium', memoryMb: 43_200, stepFactor: 5.6, readFactor: 2.7 }
const small: AcceleratorType = { name: 'small', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 }

export const engine: EngineConfig = {
  slots: 134,
  layers: 80,
  layerMb: 1750,
  tokenBytes: 1_315_343,
  stepMs: 1.02,
  requestStepMs: 0.01,
  promptTokensPerSecond: 105_000,
  activationBytes: 65_767,
  dataCentreLinkMbps: 22_000,
  loadMs: 14_000,
  concurrentLoads: 5,
  usualPromptTokens: 774,
  usualAnswerTokens: 204,
  types: [large, medium, small]
}

const counts: Array<[string, AcceleratorType, number]> = [
  ['a', large, 2], ['b', large, 1], ['c', large, 1],
  ['a', medium, 2], ['b', medium, 3], ['c', medium, 6],
  ['a', small, 5], ['b', small, 8], ['c', small, 5]
]

/** @returns 33 endpoints: 4 large, 11 medium, 18 small */
export const createMembers = (): LayoutMember[] => counts.flatMap(([dataCentre, type, count]) =>
  Array.from({ length: count }, (_, index) => ({ address: `${dataCentre}-${type.name}-${index}`, dataCentre, type })))

/** @returns members by address */
export const createMemberIndex = (members: readonly LayoutMember[]): Map<string, LayoutMember> =>
  new Map(members.map((member) => [member.address, member]))

/** @returns call endpoints of the members, with the layers that a layout assigns to them */
export const createEndpoints = (members: readonly LayoutMember[], assignments: readonly LayerAssignment[]): CallEndpoint[] =>
  members.map((member) => {
    const own = assignments.find((assignment) => assignment.address === member.address)
    return {
      id: member.address,
      bornMs: 1,
      address: member.address,
      dataCentre: member.dataCentre,
      service: 'model',
      isLeaving: false,
      slots: engine.slots,
      type: member.type.name,
      ...(own === undefined ? {} : { layers: { from: own.from, to: own.to } })
    }
  })

/** @returns a route with default values, overridden by the given changes */
export const createRoute = (changes: Partial<CallRoute> = {}): CallRoute => ({
  name: 'r',
  host: 'h',
  pathPrefix: '/p/',
  repeatability: Repeatability.idempotent,
  isStream: false,
  isResumable: false,
  timeoutMs: 800,
  objectiveMs: 100,
  priority: 1,
  targets: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  ...changes
})
