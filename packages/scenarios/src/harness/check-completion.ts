import {parseCompletion, type CallResult} from './call-result.js';

const headPattern =
	/^\[model=(?<model>\S+) weights=(?<weights>\S+) request=(?<request>\S+)\] (?<echo>[\s\S]*)$/v;
const endPattern = /\[end=(?<request>\S+) tokens=(?<tokens>\d+)\]$/v;

/** Expected properties of a completion. */
export type ExpectedCompletion = {
	/** Served name, `ADAPTER@VERSION`. */
	readonly servedName: string;
	readonly weights?: string;
	/** Start of the prompt, unique to the request. The engine stand-in echoes the prompt. */
	readonly prompt: string;
};

/**
 * Checks a response of the engine stand-in against the request: status, request identity, adapter version, weights and
 * completeness. Returns a message for each mismatch.
 */
export function checkCompletion(
	result: CallResult,
	expected: ExpectedCompletion,
): readonly string[] {
	if (result.status !== 200) {
		return [`status ${result.status ?? 'none'}: ${result.text}`];
	}

	const completion = parseCompletion(result);
	const head = headPattern.exec(completion.text)?.groups ?? {};
	const end = endPattern.exec(completion.text)?.groups ?? {};
	const ids = new Set(completion.ids);
	const models = new Set(completion.models);
	const errors: Array<string | false> = [
		!completion.isComplete && 'the response is incomplete',
		ids.size !== 1 && `the response has ${ids.size} different IDs`,
		models.size !== 1 && `the response names ${models.size} different models`,
		head.model !== expected.servedName &&
			`ran on model ${head.model}, expected ${expected.servedName}`,
		expected.weights !== undefined &&
			head.weights !== expected.weights &&
			`ran on weights ${head.weights}, expected ${expected.weights}`,
		!(head.echo ?? '').startsWith(expected.prompt) &&
			`responds to another prompt: ${head.echo}`,
		head.request !== end.request &&
			`starts as request ${head.request} but ends as request ${end.request}`,
	];
	return errors.filter(error => error !== false);
}
