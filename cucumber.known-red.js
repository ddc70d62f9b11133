import all from "./cucumber.js";

export default { ...all, tags: "@known-red or @known-red-at-times" };
