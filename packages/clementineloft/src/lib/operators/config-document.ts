/**
 * Schema of the configuration that operators change: teams with their terms, models, endpoints and plain services.
 */
import * as z from 'zod'

const teamSchema = z.strictObject({
  /** Priority class: requests of a lower class wait for those of a higher one, apart from a small share. */
  class: z.enum(['paying', 'late', 'unpaid']),
  weight: z.number().positive().max(1000),
  maxInFlight: z.int().min(1).optional(),
  /** SHA-256 digests of the API keys, in hexadecimal. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/))
})

const modelSchema = z.strictObject({ layers: z.int().min(1) })

const endpointSchema = z.strictObject({
  state: z.enum(['serving', 'leaving', 'retired']),
  dataCentre: z.string(),
  model: z.string().optional(),
  firstLayer: z.int().min(0).optional(),
  lastLayer: z.int().min(0).optional(),
  tokensPerSecond: z.number().positive().optional(),
  service: z.string().optional()
})

const serviceSchema = z.strictObject({
  /** HTTP methods that are idempotent, so that a call may be repeated. */
  idempotentMethods: z.array(z.string()),
  /** Number of ranges of idempotency keys, each owned by one endpoint at a time. */
  keyRanges: z.int().min(1).max(1024),
  /** Limit of store writes per second for claims on keys, over all endpoints of the service. */
  claimWritesPerSecond: z.number().positive().optional()
})

const linkSchema = z.strictObject({ from: z.string(), to: z.string(), tokensPerSecond: z.number().positive() })

/** Schema of the configuration document. */
export const configSchema = z.strictObject({
  teams: z.record(z.string(), teamSchema),
  models: z.record(z.string(), modelSchema),
  endpoints: z.record(z.string(), endpointSchema),
  services: z.record(z.string(), serviceSchema),
  links: z.array(linkSchema)
})

export type ConfigDocument = z.infer<typeof configSchema>
export type TeamTerms = z.infer<typeof teamSchema>
export type EndpointConfig = z.infer<typeof endpointSchema>
export type ServiceConfig = z.infer<typeof serviceSchema>

/** Key of the object in the store that holds the configuration. */
export const configKey = 'config/current'

/** Weight of each class in fair queues: paying teams are preferred, without starving the other classes. */
const classWeights: Readonly<Record<TeamTerms['class'], number>> = { paying: 1000, late: 30, unpaid: 1 }

/** Multiple of the free capacity of an endpoint that a team of each class may hold. */
const freeCapacityFactors: Readonly<Record<TeamTerms['class'], number>> = { paying: 16, late: 5, unpaid: 1 }
const maxFreeCapacityFactor = 32

/**
 * @param terms - terms of a team; `undefined` for a team that is not configured
 * @returns the weight of the team in fair queues
 */
export const computeWeight = (terms: TeamTerms | undefined): number =>
  terms === undefined ? classWeights.unpaid : classWeights[terms.class] * terms.weight

/**
 * @param terms - terms of a team; `undefined` for a team that is not configured
 * @returns the multiple of the free capacity of an endpoint that the team may hold
 */
export const computeFreeCapacityFactor = (terms: TeamTerms | undefined): number =>
  terms === undefined ? freeCapacityFactors.unpaid : Math.min(maxFreeCapacityFactor, freeCapacityFactors[terms.class] * terms.weight)

const millisecondsPerSecond = 1000

/**
 * @param endpoint - configuration of an endpoint
 * @param tokenIntervalMs - target for the time between tokens, in milliseconds
 * @returns the number of requests that the endpoint can hold within the target; unlimited if its speed is not configured
 */
export const computeCapacity = (endpoint: EndpointConfig | undefined, tokenIntervalMs: number): number =>
  endpoint?.tokensPerSecond === undefined
    ? Infinity
    : Math.max(1, Math.floor(endpoint.tokensPerSecond * tokenIntervalMs / millisecondsPerSecond))
