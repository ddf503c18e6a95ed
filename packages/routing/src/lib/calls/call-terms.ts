/**
 * What the operators' configuration says of calls that are forwarded whole: routes, services, teams, limits.
 */

/** How often a call may run. */
export const Repeatability = {
  /** It may run more than once. */
  idempotent: 'idempotent',
  /** It runs at most once for each attempt of its caller. */
  atMostOnce: 'at-most-once'
} as const
export type Repeatability = typeof Repeatability[keyof typeof Repeatability]

/** A service that may serve a route, with its share of the calls. */
export interface RouteTarget {
  service: string
  /** Share in proportion to the other targets of the route; at least 0. */
  weight: number
}

/** One route: which calls it takes and how they are served. */
export interface CallRoute {
  name: string
  host: string
  /** Prefix of the path; begins and ends with a slash. */
  pathPrefix: string
  repeatability: Repeatability
  /** Whether the answer is a series of events. */
  isStream: boolean
  /** Whether a broken stream may go on at another endpoint. */
  isResumable: boolean
  /** Longest time that a call may be kept, in milliseconds. */
  timeoutMs: number
  /** Time within which an answer counts in full, in milliseconds. */
  objectiveMs: number
  /** Rank; 0 is the most urgent. */
  priority: number
  targets: RouteTarget[]
  /** Most endpoints at which one call may run. */
  maxAttempts: number
  /** Whether calls need no key. */
  isPublic: boolean
}

/** One type of accelerator. */
export interface AcceleratorType {
  name: string
  /** Memory for layers and requests, in megabytes. */
  memoryMb: number
  /** How many times slower than the reference a generation step is. */
  stepFactor: number
  /** How many times slower than the reference reading a prompt is. */
  readFactor: number
}

/** The model engine behind a service. */
export interface EngineTerms {
  /** Requests that an endpoint takes at once as the first of a path. */
  slots: number
  layers: number
  layerMb: number
  /** Memory of one token of one request over all layers, in bytes. */
  tokenBytes: number
  /** Time of a step over all layers on the reference, in milliseconds. */
  stepMs: number
  /** Time that each request in the batch adds to a step, over all layers on the reference, in milliseconds. */
  requestStepMs: number
  /** Prompt tokens that the reference reads in a second. */
  promptTokensPerSecond: number
  /** Bytes that pass from one endpoint to the next for each token. */
  activationBytes: number
  /** Rate of the link between two data centres, in megabits a second. */
  dataCentreLinkMbps: number
  /** Time to load all layers, in milliseconds. */
  loadMs: number
  /** Loads that run at full speed at the same time. */
  concurrentLoads: number
  types: AcceleratorType[]
  /** Mean sizes of requests, in tokens. */
  usualPromptTokens: number
  usualAnswerTokens: number
}

/** One service. */
export interface ServiceTerms {
  name: string
  /** Present where model endpoints that hold layers serve it. */
  engine?: EngineTerms
}

/** What callers may send. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A team and its keys. */
export interface CallTeam {
  name: string
  keys: string[]
  /** Rank of its calls, which goes before the route's; 0 is the most urgent. */
  priority?: number
}

/** The configuration of forwarded calls. */
export interface CallConfig {
  /** Version of the operators; grows. */
  version: number
  routes: CallRoute[]
  services: ServiceTerms[]
  limits: CallerLimits
  teams: CallTeam[]
}
