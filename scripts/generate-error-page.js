/** Generates docs/operators/errors.md from the refusal codes. With `--check`, only compares the page. */
import {
	httpStatusOf,
	refusalCodes,
	refuseNotRun,
} from '../packages/core/dist/index.js';
import {writeOrCheck} from './generated-page.js';

function rowOf(code) {
	const {message} = refuseNotRun(code, {step: 'accept', peer: ''});
	return `| \`${code}\` | ${httpStatusOf(code)} | ${message} |`;
}

writeOrCheck(
	'docs/operators/errors.md',
	`# Error codes

This page is generated from the code by \`npm run docs:generate\`; CI checks that it is up to date.

Each refusal has a code, which is also the tag \`code\` of the counter \`entry.refused\`. The code does not say whether the request ran; \`not_run\` in the error body does: it is \`true\` only if the request certainly reached no backend server. \`retry_after_ms\` and the header \`Retry-After\` are present if a retry makes sense; see [callers.md](../callers.md).

| code | HTTP status | meaning |
| --- | --- | --- |
${refusalCodes.map(code => rowOf(code)).join('\n')}
`,
);
