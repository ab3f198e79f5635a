import {timingSafeEqualText} from '@balsamtray/core';
import {
	operatorRouter,
	type Operator,
	type OperatorRole,
	type OperatorRouter,
	type OperatorService,
} from '@balsamtray/protocol';
import {
	fastifyTRPCPlugin,
	type FastifyTRPCPluginOptions,
} from '@trpc/server/adapters/fastify';
import type {FastifyInstance, FastifyRequest} from 'fastify';
import type {Telemetry} from '../common/types.js';

/** Maximum body of an operator's call, in bytes. A document of several hundred thousand adapters fits. */
const bodyLimitBytes = 64 * 1024 * 1024;
const bearerPrefix = 'Bearer ';

/** An operator's key as set in the settings. */
export type OperatorKey = {
	readonly name: string;
	readonly role: OperatorRole;
	readonly key: string;
};

/** Options of `OperatorsApi`. */
export type OperatorsApiOptions = {
	readonly keys: readonly OperatorKey[];
	readonly service: OperatorService;
	readonly telemetry: Pick<Telemetry, 'metrics'>;
};

/** Serves the operators' tRPC calls under `/trpc` on the operators' port. */
export class OperatorsApi {
	static create(options: OperatorsApiOptions): OperatorsApi {
		return new OperatorsApi(options);
	}

	private constructor(private readonly _options: OperatorsApiOptions) {}

	/** Whether the body of a call is read: that of an operator's. */
	readsBody({headers}: FastifyRequest): boolean {
		return this._authenticate(headers.authorization) !== undefined;
	}

	/** Registers the calls in their own scope, which has its own body limit. */
	async register(app: FastifyInstance): Promise<void> {
		await app.register(async scope => {
			scope.addHook('onRoute', route => {
				route.bodyLimit = bodyLimitBytes;
			});
			const plugin: FastifyTRPCPluginOptions<OperatorRouter> = {
				prefix: '/trpc',
				trpcOptions: {
					router: operatorRouter,
					createContext: ({req}) => {
						const operator = this._authenticate(req.headers.authorization);
						this._countCall(operator);
						return {
							service: this._options.service,
							...(operator && {operator}),
						};
					},
				},
			};
			await scope.register(fastifyTRPCPlugin, plugin);
		});
	}

	/** Returns the operator who owns the key. Each comparison takes constant time, so timing does not reveal a near match. */
	private _authenticate(
		authorization: string | undefined,
	): Operator | undefined {
		const text = authorization?.startsWith(bearerPrefix)
			? authorization.slice(bearerPrefix.length)
			: '';
		const matching = this._options.keys.find(({key}) =>
			timingSafeEqualText(key, text),
		);
		const found = matching;
		return found && text !== ''
			? {name: found.name, role: found.role}
			: undefined;
	}

	private _countCall(operator: Operator | undefined): void {
		this._options.telemetry.metrics.increment('operators.call', {
			role: operator?.role ?? 'none',
		});
	}
}
